package upstream

import (
	"cmp"
	"strconv"
	"strings"
)

// fieldLoadReport is the name of the response field with the load report. The report consists of name:value pairs
// separated by semicolons.
const fieldLoadReport = "use"

// loadReportAliases maps the name of a load report field in the settings to the other names that the field may have in
// a report. The first is the name in the wire protocol. The second, if any, is the name in site files, which describe
// deployments and may use names of their own.
var loadReportAliases = map[string][]string{
	"inHand":       {"outstanding", "inflight"},
	"busy":         {"utilization", "util"},
	"queued":       {"backlog", "queue"},
	"answerMs":     {"recent_ms", "latency_ms"},
	"throughput":   {"qps"},
	"errors_per_s": {"eps"},
}

// decodeLoadReport returns the values of a load report for the given names, in that order. A value that is missing or
// not a number is 0.
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
