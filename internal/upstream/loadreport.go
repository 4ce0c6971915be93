package upstream

import (
	"cmp"
	"strconv"
	"strings"
)

// fieldLoadReport is the field of a response that contains the load report, as name:value with semicolons
// between them.
const fieldLoadReport = "use"

// loadReportNames maps the settings' names of load report fields to those that endpoints use instead: first
// the name on the wire, then the one of site files.
var loadReportNames = map[string][]string{
	"inHand":       {"outstanding", "inflight"},
	"busy":         {"utilization", "util"},
	"queued":       {"backlog", "queue"},
	"answerMs":     {"recent_ms", "latency_ms"},
	"throughput":   {"qps"},
	"errors_per_s": {"eps"},
}

// decodeLoadReport returns the values of a load report in the order of the names; what is not reported is 0.
func decodeLoadReport(text string, names []string) []float64 {
	reported := map[string]float64{}
	for field := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(field, ":")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			reported[name] = number
		}
	}
	values := make([]float64, len(names))
	for i, name := range names {
		values[i] = reported[name]
		for _, other := range loadReportNames[name] {
			values[i] = cmp.Or(values[i], reported[other])
		}
	}
	return values
}
