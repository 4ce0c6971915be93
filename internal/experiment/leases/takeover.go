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

// leasesAcquired is the name of the event that an instance logs when it acquires leases.
var leasesAcquired = cluster.LeasesAcquired{}.Kind().Name

// injectFaults makes one random instance after another fail, each at a random moment between two renewals, and lets
// it recover.
func (r *experimentRun) injectFaults(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.Seed, 1))
	for kill := range r.Faults {
		victim := r.cluster.Names[random.IntN(len(r.cluster.Names))]
		ballots, err := r.heldBallots(ctx, victim)
		if err != nil {
			return err
		}
		fault := faultCycle[kill%len(faultCycle)]
		time.Sleep(time.Duration(random.Int64N(int64(r.RenewInterval))))
		lostAt, incarnation := time.Now(), r.cluster.Incarnation(victim)
		if err := r.injectFault(victim, fault); err != nil {
			return err
		}
		gap, err := r.waitForTakeover(ballots, victim, lostAt, 4*r.LeaseDuration)
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
		r.takeovers = append(r.takeovers, takeover)
		r.logf("%d: %s of %s with %d slots: taken over after %.0f ms\n",
			kill, fault, victim, takeover.Slots, takeover.GapMS)
		time.Sleep(time.Duration(random.Int64N(int64(r.LeaseDuration))))
		if err := r.endFault(ctx, victim, fault, incarnation); err != nil {
			return err
		}
	}
	return nil
}

// heldBallots returns the slots whose leases an instance holds, each with the ballot of the lease.
func (r *experimentRun) heldBallots(ctx context.Context, name string) (map[int]uint64, error) {
	status, err := r.cluster.LeaseStatus(ctx, name)
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

func (r *experimentRun) injectFault(victim string, fault Fault) error {
	switch fault {
	case Kill:
		return r.cluster.Signal(victim, syscall.SIGKILL)
	case Terminate:
		return r.cluster.Signal(victim, syscall.SIGTERM)
	case Freeze:
		return r.cluster.Signal(victim, syscall.SIGSTOP)
	case Isolate:
		r.cluster.Isolate(victim)
	case Delay:
		r.cluster.Delay(victim, 4*r.LeaseDuration/3)
	}
	return nil
}

// endFault ends the fault; after Kill and Terminate it starts the instance again. It then waits until every slot has a
// holder and the instance has had time to acquire its share of the slots.
func (r *experimentRun) endFault(ctx context.Context, victim string, fault Fault, incarnation int) error {
	var err error
	switch fault {
	case Freeze:
		err = r.cluster.Signal(victim, syscall.SIGCONT)
	case Isolate, Delay:
		r.cluster.Heal()
	default:
		r.cluster.WaitForExit(victim, incarnation)
		err = r.cluster.Start(victim)
	}
	if err != nil {
		return err
	}
	if err := r.cluster.WaitForAllSlotsLeased(ctx, r.settleTimeout()); err != nil {
		return err
	}
	time.Sleep(2*r.LeaseDuration + 2*r.RenewInterval)
	return nil
}

// waitForTakeover waits until other instances have logged that they acquired all of the victim's slots under higher
// ballots. It returns the time from the fault until they acquired the last one, or an error after the timeout.
func (r *experimentRun) waitForTakeover(
	ballots map[int]uint64, victim string, since time.Time, timeout time.Duration,
) (time.Duration, error) {
	taken := 0
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(takeoverPollInterval) {
		var last time.Time
		taken, last = countTakenOver(r.cluster.LogLines(), ballots, victim, since)
		if taken == len(ballots) {
			return last.Sub(since), nil
		}
	}
	return 0, fmt.Errorf("%d of %d slots were taken over within %s, want all", taken, len(ballots), timeout)
}

// countTakenOver returns how many of the victim's slots other instances have acquired under higher ballots since a
// time, and when they acquired the last one. If they acquired none, it returns 0 and that time.
func countTakenOver(
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
