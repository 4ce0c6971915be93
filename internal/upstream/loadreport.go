package upstream

import (
	"cmp"
	"strconv"
	"strings"
)

// fieldLoadReport is the response field with the load report: name:value pairs separated by semicolons.
const fieldLoadReport = "use"

// loadReportAliases maps the names of load report fields in the settings to the names that a report may have instead.
// The first is the name in the wire protocol. The second, if any, is the name in site files. These files describe
// deployments, which may use names of their own.
var loadReportAliases = map[string][]string{
	"inHand":       {"outstanding", "inflight"},
	"busy":         {"utilization", "util"},
	"queued":       {"backlog", "queue"},
	"answerMs":     {"recent_ms", "latency_ms"},
	"throughput":   {"qps"},
	"errors_per_s": {"eps"},
}

// decodeLoadReport returns the values of a load report in the order of names. A value that is missing is 0.
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
		for _, alias := range loadReportAliases[name] {
			values[i] = cmp.Or(values[i], reported[alias])
		}
	}
	return values
}
