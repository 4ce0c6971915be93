package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// durationStep is what durations are rounded to in print.
const durationStep = 100 * time.Millisecond

// table writes rows of columns. A standard output that can't be written to is not reported, as with fmt.Printf.
type table struct{ *tabwriter.Writer }

func newTable() table { return table{tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)} }

func (t table) printf(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }

func (t table) flush() { _ = t.Flush() }

// duration prints milliseconds.
func duration(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(durationStep).String()
}
