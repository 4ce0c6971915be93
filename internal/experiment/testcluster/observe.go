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

	// maxShutdownDuration is an upper bound of the duration of a router's graceful shutdown.
	maxShutdownDuration = 5 * time.Second
)

// Names and values of the log events that the functions below look for.
var (
	phaseChanged = server.PhaseChanged{}.Kind().Name
	stoppedPhase = server.Stopped.String()
	memberDead   = cluster.MemberDead{}.Kind().Name
	membersDead  = cluster.MembersDead{}.Kind().Name
)

func (c *Cluster) appendLine(line LogLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, line)
}

// LogLines returns all events that the instances have logged so far.
func (c *Cluster) LogLines() []LogLine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lines)
}

// LeaseStatus queries an instance for the status of its leases.
func (c *Cluster) LeaseStatus(ctx context.Context, name string) (cluster.Status, error) {
	var status cluster.Status
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.LeasesCommand)
	return status, err
}

// MembersStatus queries an instance for the members that it knows and their states.
func (c *Cluster) MembersStatus(ctx context.Context, name string) (cluster.MembersStatus, error) {
	var status cluster.MembersStatus
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.MembersCommand)
	return status, err
}

// Connections queries an instance for the number of its client connections and the resources that they use.
func (c *Cluster) Connections(ctx context.Context, name string) (server.Connections, error) {
	var status server.Connections
	err := adminsocket.Query(ctx, c.Path(name, ".sock"), &status, server.ConnectionsCommand)
	return status, err
}

// WaitForAllSlotsLeased waits until running instances hold the leases of all slots.
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
	return fmt.Errorf("not all slots leased within %s: %w", timeout, last)
}

// leasedSlots returns the number of slots whose lease a running instance reports to hold.
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

// WaitForExit waits until an incarnation of an instance has logged that it has stopped, or until the instance no
// longer answers, for maxShutdownDuration at most.
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

// WaitForAgreement waits until all running instances have the same view and report alive as the number of live
// instances. It returns how long that took.
func (c *Cluster) WaitForAgreement(ctx context.Context, alive int, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	last := ctx.Err()
	for time.Since(start) < timeout && ctx.Err() == nil {
		if last = c.disagreement(ctx, alive); last == nil {
			return time.Since(start), nil
		}
		time.Sleep(statusPollInterval)
	}
	return 0, fmt.Errorf("instances do not agree on %d live instances within %s: %w", alive, timeout, last)
}

// disagreement returns an error that names the first running instance with another number of live instances than
// alive, or with another view than the instances before it. It returns nil if there is none.
func (c *Cluster) disagreement(ctx context.Context, alive int) error {
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
			return fmt.Errorf("instance %s reports %d live instances and view digest %#x, want %d and, unless 0, %#x",
				name, status.Alive, status.Digest, alive, digest)
		}
		digest = status.Digest
	}
	return nil
}

// WaitForDetection waits until all observers have logged, after the time since, that an instance is dead. It returns
// the time from since until the last of them logged it, and whether all did within the timeout.
func (c *Cluster) WaitForDetection(
	victim string, observers []string, since time.Time, timeout time.Duration,
) (time.Duration, bool) {
	for time.Since(since) < timeout {
		last, detected := since, map[string]bool{}
		for _, line := range c.LogLines() {
			isNews := line.At.After(since) && line.Event == memberDead && line.Member == victim
			if !isNews || detected[line.Instance] {
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

// FalseDeaths returns the number of deaths logged since a time. It leaves out deaths of the excluded instances and
// deaths that these instances logged.
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

// HealthChecks returns the number of health checks that all caches have received.
func (c *Cluster) HealthChecks() int {
	count := 0
	for _, emulated := range c.Caches {
		count += len(emulated.HealthChecks())
	}
	return count
}
