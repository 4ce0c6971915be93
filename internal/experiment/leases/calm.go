package leases

import (
	"context"
	"time"

	"tealpath/internal/experiment/testcluster"
)

// measureIdleCost measures processor time, memory, frames and health checks of instances while no fault is injected.
func (r *experimentRun) measureIdleCost(ctx context.Context) {
	startedAt := time.Now()
	cpuBefore := map[string]float64{}
	for _, name := range r.cluster.Names {
		cpuBefore[name] = testcluster.CPUSeconds(r.cluster.PID(name))
	}
	unsharedPID := r.unshared.PID(r.unshared.Names[0])
	unsharedBefore := testcluster.CPUSeconds(unsharedPID)
	probesBefore, framesBefore := r.cluster.HealthChecks(), r.framesSent(ctx)
	time.Sleep(r.IdleDuration)
	seconds := time.Since(startedAt).Seconds()
	for _, name := range r.cluster.Names {
		pid := r.cluster.PID(name)
		percent := 100 * (testcluster.CPUSeconds(pid) - cpuBefore[name]) / seconds
		r.result.IdleCPUPercent = max(r.result.IdleCPUPercent, percent)
		r.result.ResidentKB = max(r.result.ResidentKB, testcluster.ResidentKB(pid))
	}
	r.result.UnsharedCPUPercent = 100 * (testcluster.CPUSeconds(unsharedPID) - unsharedBefore) / seconds
	r.result.UnsharedResidentKB = testcluster.ResidentKB(unsharedPID)
	frames := float64(r.framesSent(ctx) - framesBefore)
	r.result.FramesPerSecond = frames / seconds / float64(r.Instances)
	r.result.IdleProbesPerPeriod = r.probesPerPeriod(r.cluster.HealthChecks()-probesBefore, seconds)
	r.result.UnsharedProbes = float64(r.Instances)
	r.logf("no faults for %.0f s: %.3f probes per target and period, %.1f frames per second and instance; "+
		"at most %.2f%% of a core and %d KB per instance, without operator's file %.2f%% and %d KB\n",
		seconds, r.result.IdleProbesPerPeriod, r.result.FramesPerSecond, r.result.IdleCPUPercent,
		r.result.ResidentKB, r.result.UnsharedCPUPercent, r.result.UnsharedResidentKB)
}

// probesPerPeriod returns the mean number of health checks that a target received in a probe period. Its arguments are
// the number that all targets together received, and the seconds in which they did.
func (r *experimentRun) probesPerPeriod(probes int, seconds float64) float64 {
	return float64(probes) / float64(r.Caches) / (seconds / r.ProbePeriod.Seconds())
}

// framesSent returns how many frames all instances have sent to each other. It leaves out instances that do not
// answer.
func (r *experimentRun) framesSent(ctx context.Context) int64 {
	sum := int64(0)
	for _, name := range r.cluster.Names {
		if status, err := r.cluster.LeaseStatus(ctx, name); err == nil {
			sum += status.Frames
		}
	}
	return sum
}
