package idleconnections

import (
	"context"
	"time"

	"tealpath/internal/experiment/testcluster"
)

const (
	// duringLead is how long active traffic runs before something happens, duringTail how long afterwards.
	duringLead      = 300 * time.Millisecond
	duringTail      = time.Second
	maxDuringLength = 5 * time.Minute

	expiryPollInterval = 250 * time.Millisecond

	// expiryLead is how long before the connections run out their expiry is watched.
	expiryLead = 4 * time.Second
)

// measureRows opens more and more connections, and measures with each number.
func (p *play) measureRows(ctx context.Context, b *bench, version Version) error {
	var none usage // with no idle connections
	open := 0
	for i, count := range p.Counts {
		row := Row{Version: version, Idle: count}
		var err error
		if row.OpenSeconds, err = p.openUpTo(b, version, open, count); err != nil {
			return err
		}
		open = count
		used, err := p.measureRow(ctx, b, &row)
		if err != nil {
			return err
		}
		if i == 0 {
			none = used
		} else {
			row.ResidentPerConn = float64(used.residentKB-none.residentKB) * 1024 / float64(count)
			if version == Current {
				row.MemoryPerConnection = (float64(used.memoryBytes) - float64(none.memoryBytes)) / float64(count)
			}
		}
		p.result.Rows = append(p.result.Rows, row)
		p.logRow(row)
	}
	return nil
}

// openUpTo opens the connections that a count has more than there are. A baseline has closed those before,
// which were idle for too long, so these are opened again first.
func (p *play) openUpTo(b *bench, version Version, open, count int) (seconds float64, err error) {
	if version == Baseline && open > 0 {
		if _, err := b.tellAll(reconnect); err != nil {
			return 0, err
		}
	}
	seconds, err = b.open(count - open)
	if err == nil && version == Current {
		time.Sleep(suspendDelay)
	}
	return seconds, err
}

// measureRow measures active traffic beside the connections that are open.
func (p *play) measureRow(ctx context.Context, b *bench, row *Row) (usage, error) {
	duration := p.Duration
	if row.Version == Baseline {
		duration = min(duration, maxBaselineDuration)
	}
	before, startedAt := b.usage(ctx), time.Now()
	load, err := b.load(ctx, p.Rate, duration)
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

func (p *play) logRow(row Row) {
	p.logf("%s, %d idle (%d parked, %d goroutines): %.0f B heap and %.0f B resident each; "+
		"p50 %.2f p99 %.2f p99.9 %.2f ms, %.4f settled, %.2f of a core\n",
		row.Version, row.Idle, row.Suspended, row.Goroutines, row.MemoryPerConnection, row.ResidentPerConn,
		row.LatencyP50MS, row.LatencyP99MS, row.LatencyP999MS, row.ServedShare, row.CPUShare)
}

// measureDuring measures the 99th percentile of active traffic's latency while something happens, and a second
// after.
func (p *play) measureDuring(ctx context.Context, b *bench, happen func() error) (p99MS float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var load testcluster.LoadResult
	var loadErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load, loadErr = b.load(ctx, p.Rate, maxDuringLength)
	}()
	time.Sleep(duringLead)
	err = happen()
	time.Sleep(duringTail)
	stop()
	<-ended
	if err == nil {
		err = loadErr
	}
	return load.LatencyMS(99), err
}

// measureExpiry measures active traffic while all connections are closed for having been idle too long.
func (p *play) measureExpiry(ctx context.Context) error {
	b, err := p.startBench("expiry", p.Binary, p.IdleTimeout)
	if err != nil {
		return err
	}
	defer b.close()
	if _, err := b.open(p.maxIdle); err != nil {
		return err
	}
	if _, err := b.tellAll(wake); err != nil {
		return err
	}
	time.Sleep(p.IdleTimeout - expiryLead)
	var firstAt time.Time
	p.result.ExpiryP99MS, err = p.measureDuring(ctx, b, func() (err error) {
		firstAt, err = p.waitForExpiry(ctx, b)
		return err
	})
	p.result.ExpirySeconds = (time.Since(firstAt) - duringTail).Seconds()
	p.logf("expiry of %d: %.1f s, active p99 %.2f ms\n", p.maxIdle, p.result.ExpirySeconds, p.result.ExpiryP99MS)
	return err
}

// waitForExpiry waits until nearly all connections are closed, and returns when the first were.
func (p *play) waitForExpiry(ctx context.Context, b *bench) (firstAt time.Time, err error) {
	deadline := time.Now().Add(2 * p.IdleTimeout)
	for time.Now().Before(deadline) {
		open, err := b.openConnections(ctx)
		if err != nil {
			return firstAt, err
		}
		if firstAt.IsZero() && open < p.maxIdle*99/100 {
			firstAt = time.Now()
		}
		if open < p.maxIdle/100+50 {
			break
		}
		time.Sleep(expiryPollInterval)
	}
	return firstAt, nil
}
