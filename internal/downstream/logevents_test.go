package downstream

import (
	"regexp"
	"slices"
	"testing"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/logevent"
)

func TestLogEventsAreNamed(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)+$`)
	seen := map[string]bool{}
	for _, event := range LogEvents() {
		kind := event.Kind()
		if !name.MatchString(kind.Name) || kind.Message == "" || seen[kind.Name] {
			t.Errorf("%T: kind %+v, want a unique snake_case name and a message", event, kind)
		}
		seen[kind.Name] = true
	}
}

func TestLimitOfVerdict(t *testing.T) {
	for verdict, want := range map[idle.Verdict]string{
		idle.ClientLimitReached:  "client",
		idle.NetworkLimitReached: "network",
	} {
		if got := limitOfVerdict(verdict); got != want {
			t.Errorf("limitOfVerdict(%v) = %q, want %q", verdict, got, want)
		}
	}
}

// Responses must succeed again as soon as they fit into the memory. The recovery must be logged only once half of the
// memory is free: otherwise each response could log an event while the memory is nearly full.
func TestResponseMemoryEvents(t *testing.T) {
	const maxBytes = 1000
	var emitted []logevent.Event
	emit := func(event logevent.Event) { emitted = append(emitted, event) }
	memory := newMemoryLimits(Config{MaxBytes: maxBytes}, emit)
	for _, step := range []struct {
		queued   int64 // change of the size of unwritten responses before the step, bytes
		body     int
		admitted bool
		events   []logevent.Event
	}{
		{0, maxBytes, true, nil},
		{900, 101, false, []logevent.Event{ResponseMemoryExhausted{QueuedBytes: 900}}},
		{0, 101, false, nil},
		{0, 100, true, nil},
		{-401, 0, true, nil}, // a response without a body does not signal recovery
		{0, 1, true, []logevent.Event{ResponseMemoryRecovered{}}},
		{0, 1, true, nil},
	} {
		emitted = nil
		memory.responseQueued(step.queued)
		if got := memory.admitResponse(step.body); got != step.admitted || !slices.Equal(emitted, step.events) {
			t.Errorf("step %+v: got admitted %v, emitted %+v", step, got, emitted)
		}
	}
}
