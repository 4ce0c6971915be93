package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// durationStep is the unit to which printed durations are rounded.
const durationStep = 100 * time.Millisecond

// table writes aligned columns to standard output. As with fmt.Printf, errors of standard output are ignored.
type table struct{ *tabwriter.Writer }

func newTable() table { return table{tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)} }

// printf writes one or more lines. Columns are separated by tabs.
func (t table) printf(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }

// flush prints what was written.
func (t table) flush() { _ = t.Flush() }

// duration returns milliseconds as text, rounded to durationStep.
func duration(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(durationStep).String()
}
