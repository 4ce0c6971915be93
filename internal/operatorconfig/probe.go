package operatorconfig

import (
	"time"

	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig/sexpr"
)

// Values of (probe …).
const (
	defaultProbePeriod  = time.Second
	minProbePeriod      = 50 * time.Millisecond
	maxProbePeriod      = time.Hour
	defaultProbeTimeout = 500 * time.Millisecond
	minProbeTimeout     = 10 * time.Millisecond
	maxProbeTimeout     = time.Minute
	defaultColdPart     = 0.05 // of the load that an endpoint in slow start may get
	minColdPart         = 0.0001
	maxColdPart         = 1
	defaultProbeCost    = time.Millisecond // of sending time
	minProbeCost        = time.Microsecond
	maxProbeCost        = time.Minute
)

// probe decodes (probe …): the health checks of an endpoint by the instance that holds the lease of its slot.
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

// ApplySettings sets the limits of endpoints in slow start, caches and parents, for health checks. It is an error
// if the file has health checks that the deployment's settings do not allow.
func (f *File) ApplySettings(healthChecksAllowed bool, cache, parent probe.ColdLimit) error {
	if f.Cluster == nil || f.Cluster.Probe == nil {
		return nil
	}
	if !healthChecksAllowed {
		return &Error{Position: f.Cluster.probePosition, Reason: "the deployment's settings do not allow probes"}
	}
	f.Cluster.Probe.Cache = cache
	f.Cluster.Probe.Parent = parent
	return nil
}
