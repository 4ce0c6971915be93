package upstream

import (
	"slices"
	"testing"
)

// A load report with a value that no server can have is not used: one infinite value, or one that is no number, used to
// spoil the router's estimate of its peers for good, and nearly all requests were rejected from then on.
func TestDecodeLoadReport(t *testing.T) {
	names := []string{"inflight", "util"}
	for _, test := range []struct {
		text string
		want []float64 // nil: the report is not used
	}{
		{"inflight:7;util:0.61", []float64{7, 0.61}},
		{"util:0.61", []float64{0, 0.61}},
		{"inflight:many", []float64{0, 0}},
		{"", []float64{0, 0}},
		{"inflight:1000000000", []float64{1e9, 0}},
		{"inflight:NaN", nil},
		{"inflight:Inf;util:0.61", nil},
		{"util:0.61;inflight:-Inf", nil},
		{"inflight:-1", nil},
		{"inflight:1e10", nil},
		{"inflight:1e999", nil},
	} {
		t.Run(test.text, func(t *testing.T) {
			got := decodeLoadReport(test.text, names)
			if !slices.Equal(got, test.want) || (got == nil) != (test.want == nil) {
				t.Errorf("values %v, want %v", got, test.want)
			}
		})
	}
}
