package operatorconfig

import (
	"time"

	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig/sexpr"
)

// Default values and limits of (probe …).
const (
	defaultProbePeriod  = time.Second
	minProbePeriod      = 50 * time.Millisecond
	maxProbePeriod      = time.Hour
	defaultProbeTimeout = 500 * time.Millisecond
	minProbeTimeout     = 10 * time.Millisecond
	maxProbeTimeout     = time.Minute
	defaultColdPart     = 0.05 // part of the load limit of an endpoint in slow start that probes may use
	minColdPart         = 0.0001
	maxColdPart         = 1
	defaultProbeCost    = time.Millisecond // load that one probe counts as, in sending time
	minProbeCost        = time.Microsecond
	maxProbeCost        = time.Minute
)

// probe decodes (probe …): the configuration of health checks, each of which is done by the instance that holds the
// lease of the endpoint's slot.
func (d *decoder) probe(into **probe.Config) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		config := &probe.Config{
			Period:   int64(defaultProbePeriod),
			Timeout:  int64(defaultProbeTimeout),
			ColdPart: defaultColdPart,
		}
		cost := int64(defaultProbeCost)
		d.section(list, arguments, section{
			"period":    {decode: d.duration(&config.Period, minProbePeriod, maxProbePeriod)},
			"within":    {decode: d.duration(&config.Timeout, minProbeTimeout, maxProbeTimeout)},
			"cold-part": {decode: d.number(&config.ColdPart, minColdPart, maxColdPart)},
			"cost":      {decode: d.duration(&cost, minProbeCost, maxProbeCost)},
		})
		config.Cost = time.Duration(cost).Seconds()
		*into = config
	}
}

// ApplySettings sets the load limits of caches and parents in slow start for health checks. It returns an error if
// the file has health checks but the deployment's settings do not allow them.
func (f *File) ApplySettings(healthChecksAllowed bool, cache, parent probe.ColdLimit) error {
	if f.Cluster == nil || f.Cluster.Probe == nil {
		return nil
	}
	if !healthChecksAllowed {
		return &Error{
			Position: f.Cluster.probePosition,
			Reason:   "(probe …) is not allowed: mayProbe is not true in the deployment's settings",
		}
	}
	f.Cluster.Probe.Cache = cache
	f.Cluster.Probe.Parent = parent
	return nil
}
