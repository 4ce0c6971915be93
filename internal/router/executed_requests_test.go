package router

import (
	"testing"

	"tealpath/control"
)

// The IDs of executed requests are remembered for twice the longest deadline, and no more of them than the limit.
func TestExecutedRequestsAreForgotten(t *testing.T) {
	h := newHarness(t, func(limits *Limits, settings *control.Settings) {
		settings.Classes = append(settings.Classes, nonIdempotentClass())
		limits.MaxExecuted = 10
	})
	for seq := range int32(30) {
		h.request(seq, map[string]string{"verb": nonIdempotentClass().Name, "txn": requestID(seq)})
		h.connectAll()
		h.handle(RequestCancelled{Client: 1, Seq: seq})
	}
	if known, queued := len(h.executed.known), len(h.executed.oldest); known != 10 || queued != 10 {
		t.Errorf("%d requests known and %d queued, want 10 and 10", known, queued)
	}
	window := 2*h.config.LongestDeadline + second
	h.advance(window)
	if known, queued := len(h.executed.known), len(h.executed.oldest); known != 0 || queued != 0 {
		t.Errorf("%d requests known and %d queued after %d s, want none", known, queued, window/second)
	}
}
