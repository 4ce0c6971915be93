package upstream

import (
	"cmp"
	"errors"
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

// maxReportedLoad is the largest value of a load report that is used.
const maxReportedLoad = 1e9

// decodeLoadReport returns the values of a load report for the given names, in that order. A value that is missing or
// not a number is 0. It returns nil if a value is not from 0 to maxReportedLoad: such a report is not used, since one
// value that is infinite, for example, would spoil an average for good.
func decodeLoadReport(text string, names []string) []float64 {
	reported := map[string]float64{}
	for field := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(field, ":")
		number, err := strconv.ParseFloat(value, 64)
		switch inRange := number >= 0 && number <= maxReportedLoad; {
		case inRange && err == nil:
			reported[name] = number
		case err == nil || errors.Is(err, strconv.ErrRange):
			return nil
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
