package main

import "time"

// epoch is the time from which the protocol counts its stamps. They are wall times of other machines, which this program
// stands in for; none of them measures a span.
var epoch = time.Date(1970, 1, 1, 0, 0, 0, 0, time.UTC)

// stamp returns a time as the protocol writes it: ms since 1970.
func stamp(at time.Time) int64 { return at.Sub(epoch).Milliseconds() }
