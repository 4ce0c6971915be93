package leases

import (
	"context"
	"time"

	"tealpath/internal/experiment/testcluster"
)

// measureCalm measures the processor time, memory, frames and health checks of instances without faults.
func (p *play) measureCalm(ctx context.Context) {
	startedAt := time.Now()
	cpuBefore := map[string]float64{}
	for _, name := range p.cluster.Names {
		cpuBefore[name] = testcluster.CPUSeconds(p.cluster.PID(name))
	}
	unsharedPID := p.unshared.PID(p.unshared.Names[0])
	unsharedBefore := testcluster.CPUSeconds(unsharedPID)
	probesBefore, framesBefore := p.cluster.HealthChecks(), p.framesSent(ctx)
	time.Sleep(p.CalmDuration)
	seconds := time.Since(startedAt).Seconds()
	for _, name := range p.cluster.Names {
		pid := p.cluster.PID(name)
		percent := 100 * (testcluster.CPUSeconds(pid) - cpuBefore[name]) / seconds
		p.result.IdleCPUPercent = max(p.result.IdleCPUPercent, percent)
		p.result.ResidentKB = max(p.result.ResidentKB, testcluster.ResidentKB(pid))
	}
	p.result.UnsharedCPUPercent = 100 * (testcluster.CPUSeconds(unsharedPID) - unsharedBefore) / seconds
	p.result.UnsharedResidentKB = testcluster.ResidentKB(unsharedPID)
	frames := float64(p.framesSent(ctx) - framesBefore)
	p.result.FramesPerSecond = frames / seconds / float64(p.Instances)
	p.result.CalmProbesPerPeriod = p.probesPerPeriod(p.cluster.HealthChecks()-probesBefore, seconds)
	p.result.UnsharedProbes = float64(p.Instances)
	p.logf("calm for %.0f s: %.3f probes per target and period, %.1f frames per second and instance; "+
		"%.2f%% of a core and %d KB at most, without operator's file %.2f%% and %d KB\n",
		seconds, p.result.CalmProbesPerPeriod, p.result.FramesPerSecond, p.result.IdleCPUPercent,
		p.result.ResidentKB, p.result.UnsharedCPUPercent, p.result.UnsharedResidentKB)
}

// probesPerPeriod returns the mean number of health checks of a target per period, from the number of all health
// checks in a time.
func (p *play) probesPerPeriod(probes int, seconds float64) float64 {
	return float64(probes) / float64(p.Caches) / (seconds / p.ProbePeriod.Seconds())
}

// framesSent returns the number of frames that instances have sent to each other. It leaves out instances that do not
// answer.
func (p *play) framesSent(ctx context.Context) int64 {
	sum := int64(0)
	for _, name := range p.cluster.Names {
		if status, err := p.cluster.LeaseStatus(ctx, name); err == nil {
			sum += status.Frames
		}
	}
	return sum
}
