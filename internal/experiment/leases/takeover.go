package leases

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"tealpath/internal/cluster"
	"tealpath/internal/experiment/testcluster"
)

const takeoverPollInterval = 10 * time.Millisecond

// leasesAcquired is the name of the event that an instance logs when it has acquired leases.
var leasesAcquired = cluster.LeasesAcquired{}.Kind().Name

// loseHolders makes one holder after another fail, each at a random time between two renewals, and recovers it.
func (p *play) loseHolders(ctx context.Context) error {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	for kill := range p.Kills {
		victim := p.cluster.Names[random.IntN(len(p.cluster.Names))]
		ballots, err := p.ballotsOf(ctx, victim)
		if err != nil {
			return err
		}
		fault := faultCycle[kill%len(faultCycle)]
		time.Sleep(time.Duration(random.Int64N(int64(p.RenewInterval))))
		lostAt, incarnation := time.Now(), p.cluster.Incarnation(victim)
		if err := p.lose(victim, fault); err != nil {
			return err
		}
		gap, err := p.waitForTakeover(ballots, victim, lostAt, 4*p.LeaseDuration)
		if err != nil {
			return fmt.Errorf("fault %d, %s of %s: %w", kill, fault, victim, err)
		}
		takeover := Takeover{
			Kill:   kill,
			Fault:  fault,
			Victim: victim,
			Slots:  len(ballots),
			GapMS:  float64(gap) / float64(time.Millisecond),
		}
		p.takeovers = append(p.takeovers, takeover)
		p.logf("%d: %s of %s with %d slots: taken over after %.0f ms\n",
			kill, fault, victim, takeover.Slots, takeover.GapMS)
		time.Sleep(time.Duration(random.Int64N(int64(p.LeaseDuration))))
		if err := p.bringBack(ctx, victim, fault, incarnation); err != nil {
			return err
		}
	}
	return nil
}

// ballotsOf returns the ballots of the slots that an instance holds.
func (p *play) ballotsOf(ctx context.Context, name string) (map[int]uint64, error) {
	status, err := p.cluster.LeaseStatus(ctx, name)
	if err != nil {
		return nil, err
	}
	ballots := map[int]uint64{}
	for _, slot := range status.Slots {
		if slot.Own {
			ballots[slot.Slot] = slot.Ballot
		}
	}
	return ballots, nil
}

func (p *play) lose(victim string, fault Fault) error {
	switch fault {
	case Kill:
		return p.cluster.Signal(victim, syscall.SIGKILL)
	case Terminate:
		return p.cluster.Signal(victim, syscall.SIGTERM)
	case Freeze:
		return p.cluster.Signal(victim, syscall.SIGSTOP)
	case Isolate:
		p.cluster.Isolate(victim)
	case Delay:
		p.cluster.Delay(victim, 4*p.LeaseDuration/3)
	}
	return nil
}

// bringBack ends the fault, and waits until every slot has a holder and the recovered instance has had time to get its
// slots again.
func (p *play) bringBack(ctx context.Context, victim string, fault Fault, incarnation int) error {
	var err error
	switch fault {
	case Freeze:
		err = p.cluster.Signal(victim, syscall.SIGCONT)
	case Isolate, Delay:
		p.cluster.Heal()
	default:
		p.cluster.WaitForExit(victim, incarnation)
		err = p.cluster.Start(victim)
	}
	if err != nil {
		return err
	}
	if err := p.cluster.WaitForAllSlotsLeased(ctx, p.settleTimeout()); err != nil {
		return err
	}
	time.Sleep(2*p.LeaseDuration + 2*p.RenewInterval)
	return nil
}

// waitForTakeover waits until other instances have logged that they acquired each slot of ballots under a higher
// ballot than the one in ballots. It returns the time from since until the last of them was acquired.
func (p *play) waitForTakeover(
	ballots map[int]uint64, victim string, since time.Time, timeout time.Duration,
) (time.Duration, error) {
	taken := 0
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(takeoverPollInterval) {
		var last time.Time
		taken, last = takenOver(p.cluster.LogLines(), ballots, victim, since)
		if taken == len(ballots) {
			return last.Sub(since), nil
		}
	}
	return 0, fmt.Errorf("%d of %d slots were taken over within %s, want all", taken, len(ballots), timeout)
}

// takenOver returns how many slots of ballots other instances have acquired since a time, and when they acquired the
// last one.
func takenOver(
	lines []testcluster.LogLine, ballots map[int]uint64, victim string, since time.Time,
) (int, time.Time) {
	taken, last := map[int]bool{}, since
	for _, line := range lines {
		if line.Event != leasesAcquired || line.Instance == victim || line.At.Before(since) {
			continue
		}
		for _, slot := range line.Slots {
			ballot, wasHeld := ballots[slot]
			if !wasHeld || line.Ballot <= ballot || taken[slot] {
				continue
			}
			taken[slot] = true
			if line.At.After(last) {
				last = line.At
			}
		}
	}
	return len(taken), last
}
