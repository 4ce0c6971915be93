package peer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"tealpath/internal/logevent"
)

func TestLogEvents(t *testing.T) {
	seen := map[string]bool{}
	for _, event := range LogEvents() {
		kind := event.Kind()
		if kind.Name == "" || kind.Message == "" || seen[kind.Name] {
			t.Errorf("%T: kind %+v has an empty message or an empty or repeated name", event, kind)
		}
		seen[kind.Name] = true
	}
}

// A flood of refused connections must not fill the log: one event of each kind is logged in refusalInterval, with the
// number of occurrences since the previous event of that kind. Failed connections are counted for each member
// separately.
func TestRefusalsAreCounted(t *testing.T) {
	var logged []logevent.Event
	refusals := newRefusals(func(event logevent.Event) { logged = append(logged, event) })
	cause := errors.New("refused")
	fail := func(member string) {
		refusals.logForMember(member, func(times int) logevent.Event {
			return ConnectFailed{Member: member, Cause: cause, Times: times}
		})
	}
	accept := func() {
		refusals.log(func(times int) logevent.Event { return AcceptFailed{Cause: cause, Times: times} })
	}
	for range 3 {
		fail("b")
		fail("c")
		accept()
	}
	for _, kind := range refusals.kinds {
		kind.loggedAt = kind.loggedAt.Add(-refusalInterval - time.Second)
	}
	fail("b")
	accept()
	want := []logevent.Event{
		ConnectFailed{Member: "b", Cause: cause, Times: 1},
		ConnectFailed{Member: "c", Cause: cause, Times: 1},
		AcceptFailed{Cause: cause, Times: 1},
		ConnectFailed{Member: "b", Cause: cause, Times: 3},
		AcceptFailed{Cause: cause, Times: 3},
	}
	if !slices.Equal(logged, want) {
		t.Errorf("logged %+v, want %+v", logged, want)
	}
}
