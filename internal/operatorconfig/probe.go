package operatorconfig

import (
	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig/sexpr"
	"time"
)

// Values of (probe …).
const (
	defaultProbePeriod  = time.Second
	minProbePeriod      = 50 * time.Millisecond
	maxProbePeriod      = time.Hour
	defaultProbeTimeout = 500 * time.Millisecond
	minProbeTimeout     = 10 * time.Millisecond
	maxProbeTimeout     = time.Minute
	defaultColdPart     = 0.05 // of what an endpoint takes while it warms up
	minColdPart         = 0.0001
	maxColdPart         = 1
	defaultProbeCost    = time.Millisecond // of sending time
	minProbeCost        = time.Microsecond
	maxProbeCost        = time.Minute
)

// probe decodes how endpoints are checked by the instance that holds their lease.
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

// ApplySettings checks the file against the deployment's settings, which allow health checks or not, and takes
// over what those say of endpoints that warm up.
func (f *File) ApplySettings(allowed bool, cache, parent probe.ColdLimit) error {
	if f.Cluster == nil || f.Cluster.Probe == nil {
		return nil
	}
	if !allowed {
		return &Error{Position: f.Cluster.probePosition, Reason: "the deployment's settings do not allow probes"}
	}
	f.Cluster.Probe.Cache = cache
	f.Cluster.Probe.Parent = parent
	return nil
}
