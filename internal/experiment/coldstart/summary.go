package coldstart

import (
	"math"
	"slices"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
)

// summarize computes the result from the load and from what routers, caches and the discovery service recorded.
func (r *experimentRun) summarize(served testcluster.LoadResult) {
	for _, router := range r.routers {
		r.result.CPUMSPerRouter += 1000 * testcluster.CPUSeconds(router.PID()) / float64(r.Routers)
		r.result.ResidentKBPerRouter += testcluster.ResidentKB(router.PID()) / int64(r.Routers)
	}
	r.summarizeCalls()
	r.summarizeCaches()
	r.summarizeStarts()
	r.result.Sent, r.result.Lost = served.Sent, served.Lost
	r.result.ServedShare = float64(served.Served) / math.Max(1, float64(served.Sent))
}

func (r *experimentRun) summarizeCalls() {
	calls := r.service.Calls()
	perSecond, per100MS := map[time.Duration]int{}, map[time.Duration]int{}
	for _, call := range calls {
		sinceStart := call.At.Sub(r.startedAt)
		r.result.ListBytes += call.BytesSent
		perSecond[sinceStart/time.Second]++
		per100MS[sinceStart/(100*time.Millisecond)]++
	}
	r.result.Calls = len(calls)
	r.result.PeakCallsPerSecond, r.result.PeakCallsPer100MS = peak(perSecond), peak(per100MS)
}

func peak(counts map[time.Duration]int) int {
	highest := 0
	for _, count := range counts {
		highest = max(highest, count)
	}
	return highest
}

func (r *experimentRun) summarizeCaches() {
	for _, emulated := range r.caches {
		model := emulated.Model()
		r.result.PeakConnections = max(r.result.PeakConnections, model.PeakConnections)
		r.result.PeakLoad = math.Max(r.result.PeakLoad, model.PeakLoad)
		r.result.RefusedConnections += model.RefusedConnections
		r.result.CacheCrashes += model.Crashes
	}
	if r.Fault == CacheDraining {
		r.result.StaleListAttempts = r.caches[0].Fetches() - r.attemptsBeforeDrain
	}
}

func (r *experimentRun) summarizeStarts() {
	var healthy []float64
	for _, at := range r.healthyAtMS {
		if at > 0 {
			healthy = append(healthy, at)
		} else {
			r.result.NeverHealthy++
		}
	}
	r.mu.Lock()
	warm := slices.Clone(r.warmMS)
	r.mu.Unlock()
	r.result.HealthyP50MS, r.result.HealthyP99MS = percentile(healthy, 50), percentile(healthy, 99)
	r.result.WarmP99MS = percentile(warm, 99)
}

// percentile returns a percentile of unsorted values, or 0 if there are none.
func percentile(values []float64, percent int) float64 {
	return report.Percentile(slices.Sorted(slices.Values(values)), percent)
}
