package coldstart

import (
	"math"
	"slices"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
)

// summarize fills in the result from what routers, caches and the discovery service have seen.
func (p *play) summarize(served testcluster.LoadResult) {
	for _, router := range p.routers {
		p.result.CPUMSPerRouter += 1000 * testcluster.CPUSeconds(router.PID()) / float64(p.Routers)
		p.result.ResidentKBPerRouter += testcluster.ResidentKB(router.PID()) / int64(p.Routers)
	}
	p.summarizeCalls()
	p.summarizeCaches()
	p.summarizeStarts()
	p.result.Sent, p.result.Lost = served.Sent, served.Lost
	p.result.ServedShare = float64(served.Served) / math.Max(1, float64(served.Sent))
}

func (p *play) summarizeCalls() {
	calls := p.service.Calls()
	perSecond, per100MS := map[time.Duration]int{}, map[time.Duration]int{}
	for _, call := range calls {
		sinceStart := call.At.Sub(p.startedAt)
		p.result.ListBytes += call.BytesSent
		perSecond[sinceStart/time.Second]++
		per100MS[sinceStart/(100*time.Millisecond)]++
	}
	p.result.Calls = len(calls)
	p.result.PeakCallsPerSecond, p.result.PeakCallsPer100MS = peak(perSecond), peak(per100MS)
}

func peak(counts map[time.Duration]int) int {
	highest := 0
	for _, count := range counts {
		highest = max(highest, count)
	}
	return highest
}

func (p *play) summarizeCaches() {
	for _, emulated := range p.caches {
		model := emulated.Model()
		p.result.PeakConnections = max(p.result.PeakConnections, model.PeakConnections)
		p.result.PeakLoad = math.Max(p.result.PeakLoad, model.PeakLoad)
		p.result.RefusedConnections += model.RefusedConnections
		p.result.CacheCrashes += model.Crashes
	}
	if p.Fault == CacheDrainsUnnoticed {
		p.result.StaleListAttempts = p.caches[0].Fetches() - p.attemptsBeforeDrain
	}
}

func (p *play) summarizeStarts() {
	var healthy []float64
	for _, at := range p.healthyAtMS {
		if at > 0 {
			healthy = append(healthy, at)
		} else {
			p.result.NeverHealthy++
		}
	}
	p.mu.Lock()
	warm := slices.Clone(p.warmMS)
	p.mu.Unlock()
	p.result.HealthyP50MS, p.result.HealthyP99MS = percentile(healthy, 50), percentile(healthy, 99)
	p.result.WarmP99MS = percentile(warm, 99)
}

// percentile returns a percentile of values in any order; 0 if there are none.
func percentile(values []float64, percent int) float64 {
	return report.Percentile(slices.Sorted(slices.Values(values)), percent)
}
