package testcluster

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tealpath/internal/adminsocket"
	"tealpath/internal/cluster"
	"tealpath/internal/server"
)

const (
	logPollInterval    = 20 * time.Millisecond
	statusPollInterval = 50 * time.Millisecond

	// maxShutdownDuration limits the wait of WaitForExit. It is longer than a graceful shutdown takes.
	maxShutdownDuration = 5 * time.Second
)

// Names of events and of a phase in the routers' logs.
var (
	phaseChanged = server.PhaseChanged{}.Kind().Name
	stoppedPhase = server.Stopped.String()
	memberDead   = cluster.MemberDead{}.Kind().Name
	membersDead  = cluster.MembersDead{}.Kind().Name
)

func (c *Cluster) appendLogLine(line LogLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, line)
}

// LogLines returns all events that the instances have logged so far, in the order in which they were read.
func (c *Cluster) LogLines() []LogLine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lines)
}

// LeaseStatus queries an instance for the state of its leases.
func (c *Cluster) LeaseStatus(ctx context.Context, name string) (cluster.Status, error) {
	var status cluster.Status
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.LeasesCommand)
	return status, err
}

// MembersStatus queries an instance for its view of the membership.
func (c *Cluster) MembersStatus(ctx context.Context, name string) (cluster.MembersStatus, error) {
	var status cluster.MembersStatus
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.MembersCommand)
	return status, err
}

// Connections queries an instance for its clients' connections and the resources that they use.
func (c *Cluster) Connections(ctx context.Context, name string) (server.Connections, error) {
	var status server.Connections
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.ConnectionsCommand)
	return status, err
}

// WaitForAllSlotsLeased waits until running instances hold the leases of all slots. After the timeout it returns an
// error.
func (c *Cluster) WaitForAllSlotsLeased(ctx context.Context, timeout time.Duration) error {
	last := ctx.Err()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		held, err := c.leasedSlots(ctx)
		if err == nil && held == c.Slots {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("%d of %d slots are leased", held, c.Slots)
		}
		time.Sleep(statusPollInterval)
	}
	return fmt.Errorf("not all slots were leased within %s: %w", timeout, last)
}

// leasedSlots returns the number of slots whose lease some running instance reports to hold.
func (c *Cluster) leasedSlots(ctx context.Context) (int, error) {
	held := map[int]bool{}
	for _, name := range c.Names {
		if c.PID(name) == 0 {
			continue
		}
		status, err := c.LeaseStatus(ctx, name)
		if err != nil {
			return 0, err
		}
		for _, slot := range status.Slots {
			if slot.Own {
				held[slot.Slot] = true
			}
		}
	}
	return len(held), nil
}

// WaitForExit waits until an incarnation of an instance has logged that it stopped, or no longer responds on its
// admin socket, but at most for maxShutdownDuration.
func (c *Cluster) WaitForExit(name string, incarnation int) {
	stopped := func(line LogLine) bool {
		return line.Instance == name && line.Incarnation == incarnation &&
			line.Event == phaseChanged && line.Phase == stoppedPhase
	}
	deadline := time.Now().Add(maxShutdownDuration)
	for time.Now().Before(deadline) {
		if slices.ContainsFunc(c.LogLines(), stopped) {
			return
		}
		if _, err := c.LeaseStatus(context.Background(), name); err != nil {
			return
		}
		time.Sleep(logPollInterval)
	}
}

// WaitForAgreement waits until all running instances have the same view with a given number of live members. It
// returns how long that took.
func (c *Cluster) WaitForAgreement(ctx context.Context, alive int, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	last := ctx.Err()
	for time.Since(start) < timeout && ctx.Err() == nil {
		if last = c.checkAgreement(ctx, alive); last == nil {
			return time.Since(start), nil
		}
		time.Sleep(statusPollInterval)
	}
	return 0, fmt.Errorf("instances did not agree on %d live members within %s: %w", alive, timeout, last)
}

// checkAgreement returns an error if a running instance does not count alive live members, does not answer, or has
// another view than the running instances before it in Names.
func (c *Cluster) checkAgreement(ctx context.Context, alive int) error {
	digest := uint64(0)
	for _, name := range c.Names {
		if c.PID(name) == 0 {
			continue
		}
		status, err := c.MembersStatus(ctx, name)
		if err != nil {
			return err
		}
		if status.Alive != alive || digest != 0 && status.Digest != digest {
			return fmt.Errorf("instance %s has %d live members and view digest %x, want %d and %x (0 is any)",
				name, status.Alive, status.Digest, alive, digest)
		}
		digest = status.Digest
	}
	return nil
}

// WaitForDetection waits until all observers have logged, after a given time, that an instance is dead. It returns
// the duration from that time until the last observer logged it, or 0 and false if not all did within the timeout.
// The timeout also counts from that time.
func (c *Cluster) WaitForDetection(
	victim string, observers []string, since time.Time, timeout time.Duration,
) (time.Duration, bool) {
	for time.Since(since) < timeout {
		last, detected := since, map[string]bool{}
		for _, line := range c.LogLines() {
			isDetection := line.At.After(since) && line.Event == memberDead && line.Member == victim
			if !isDetection || detected[line.Instance] {
				continue
			}
			detected[line.Instance] = true
			if line.At.After(last) {
				last = line.At
			}
		}
		if !slices.ContainsFunc(observers, func(name string) bool { return !detected[name] }) {
			return last.Sub(since), true
		}
		time.Sleep(logPollInterval)
	}
	return 0, false
}

// FalseDeaths counts the deaths that instances have logged since a time. It omits deaths of the excluded instances
// and deaths that those instances logged.
func (c *Cluster) FalseDeaths(since time.Time, excluded ...string) int {
	count := 0
	for _, line := range c.LogLines() {
		if !line.At.After(since) || line.Event != memberDead && line.Event != membersDead {
			continue
		}
		if !slices.Contains(excluded, line.Member) && !slices.Contains(excluded, line.Instance) {
			count++
		}
	}
	return count
}

// HealthChecks returns how many health checks all caches together have received.
func (c *Cluster) HealthChecks() int {
	count := 0
	for _, emulated := range c.Caches {
		count += len(emulated.HealthChecks())
	}
	return count
}
