package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// durationStep is the unit to which printed durations are rounded.
const durationStep = 100 * time.Millisecond

// table writes aligned columns to standard output. Write errors are ignored, as is usual for fmt.Printf.
type table struct{ *tabwriter.Writer }

func newTable() table { return table{tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)} }

// printf adds one or more lines, whose columns are separated by tabs.
func (t table) printf(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }

// flush aligns the lines that printf has added and prints them.
func (t table) flush() { _ = t.Flush() }

// formatMilliseconds formats a duration in milliseconds, rounded to durationStep.
func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(durationStep).String()
}
