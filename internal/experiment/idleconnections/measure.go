package idleconnections

import (
	"context"
	"time"

	"tealpath/internal/experiment/testcluster"
)

const (
	// Active traffic starts actionLead before a measured action and ends actionTail after it.
	actionLead      = 300 * time.Millisecond
	actionTail      = time.Second
	maxLoadDuration = 5 * time.Minute

	expiryPollInterval = 250 * time.Millisecond

	// expiryLead is the time from the start of the expiry measurement to the idle timeout of the connections.
	expiryLead = 4 * time.Second
)

// measureRows opens each number of connections in turn, and measures a row with each.
func (r *experimentRun) measureRows(ctx context.Context, b *testbed, version Version) error {
	var baseUsage usage // without idle connections
	open := 0
	for i, count := range r.Counts {
		row := Row{Version: version, Idle: count}
		var err error
		if row.OpenSeconds, err = r.openUpTo(b, version, open, count); err != nil {
			return err
		}
		open = count
		used, err := r.measureRow(ctx, b, &row)
		if err != nil {
			return err
		}
		if i == 0 {
			baseUsage = used
		} else {
			row.ResidentPerConn = float64(used.residentKB-baseUsage.residentKB) * 1024 / float64(count)
			if version == Current {
				row.MemoryPerConnection = (float64(used.memoryBytes) - float64(baseUsage.memoryBytes)) / float64(count)
			}
		}
		r.result.Rows = append(r.result.Rows, row)
		r.logRow(row)
	}
	return nil
}

// openUpTo opens connections until count are open. The parameter open is how many were opened for the previous row. A
// baseline router has closed these in the meantime because they were idle too long, so they are opened again first.
func (r *experimentRun) openUpTo(b *testbed, version Version, open, count int) (seconds float64, err error) {
	if version == Baseline && open > 0 {
		if _, err := b.sendAll(reconnectCommand); err != nil {
			return 0, err
		}
	}
	seconds, err = b.open(count - open)
	if err == nil && version == Current {
		time.Sleep(suspendDelay)
	}
	return seconds, err
}

// measureRow measures active traffic while the idle connections stay open. It sets the fields of row that depend on
// this traffic, and returns what the routers use after it.
func (r *experimentRun) measureRow(ctx context.Context, b *testbed, row *Row) (usage, error) {
	duration := r.Duration
	if row.Version == Baseline {
		duration = min(duration, maxBaselineDuration)
	}
	before, startedAt := b.usage(ctx), time.Now()
	load, err := b.load(ctx, r.Rate, duration)
	if err != nil {
		return usage{}, err
	}
	after := b.usage(ctx)
	row.CPUShare = (after.cpuSeconds - before.cpuSeconds) / time.Since(startedAt).Seconds()
	row.Suspended, row.Goroutines = after.suspended, after.goroutines
	row.LatencyP50MS, row.LatencyP99MS = load.LatencyMS(50), load.LatencyMS(99)
	row.LatencyP999MS = load.LatencyMS(99.9)
	row.ServedShare = float64(load.Served) / float64(max(1, load.Sent))
	return after, nil
}

func (r *experimentRun) logRow(row Row) {
	r.logf("%s, %d idle (%d suspended, %d goroutines): %.0f B of heap and stacks, %.0f B resident per connection; "+
		"p50 %.2f p99 %.2f p99.9 %.2f ms, share served %.4f, %.2f of a core\n",
		row.Version, row.Idle, row.Suspended, row.Goroutines, row.MemoryPerConnection, row.ResidentPerConn,
		row.LatencyP50MS, row.LatencyP99MS, row.LatencyP999MS, row.ServedShare, row.CPUShare)
}

// measureDuring returns the 99th percentile of active traffic's latency from actionLead before an action until
// actionTail after it.
func (r *experimentRun) measureDuring(
	ctx context.Context, b *testbed, action func() error,
) (p99MS float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var load testcluster.LoadResult
	var loadErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load, loadErr = b.load(ctx, r.Rate, maxLoadDuration)
	}()
	time.Sleep(actionLead)
	err = action()
	time.Sleep(actionTail)
	stop()
	<-ended
	if err == nil {
		err = loadErr
	}
	return load.LatencyMS(99), err
}

// measureExpiry measures active traffic while the router closes all connections because they have been idle too long.
func (r *experimentRun) measureExpiry(ctx context.Context) error {
	b, err := r.startTestbed("expiry", r.Binary, r.IdleTimeout)
	if err != nil {
		return err
	}
	defer b.close()
	if _, err := b.open(r.maxIdle); err != nil {
		return err
	}
	if _, err := b.sendAll(wakeCommand); err != nil {
		return err
	}
	time.Sleep(r.IdleTimeout - expiryLead)
	var firstAt time.Time
	r.result.ExpiryP99MS, err = r.measureDuring(ctx, b, func() (err error) {
		firstAt, err = r.waitForExpiry(ctx, b)
		return err
	})
	r.result.ExpirySeconds = (time.Since(firstAt) - actionTail).Seconds()
	r.logf("expiry of %d connections: %.1f s, active p99 %.2f ms\n",
		r.maxIdle, r.result.ExpirySeconds, r.result.ExpiryP99MS)
	return err
}

// waitForExpiry waits until nearly all connections are closed, for two idle timeouts at most. It returns the time
// at which it found more than 1% of the connections closed, or the zero time if it never did.
func (r *experimentRun) waitForExpiry(ctx context.Context, b *testbed) (firstAt time.Time, err error) {
	deadline := time.Now().Add(2 * r.IdleTimeout)
	for time.Now().Before(deadline) {
		open, err := b.openConnections(ctx)
		if err != nil {
			return firstAt, err
		}
		if firstAt.IsZero() && open < r.maxIdle*99/100 {
			firstAt = time.Now()
		}
		if open < r.maxIdle/100+50 {
			break
		}
		time.Sleep(expiryPollInterval)
	}
	return firstAt, nil
}
