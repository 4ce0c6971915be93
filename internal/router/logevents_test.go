package router

import (
	"slices"
	"testing"

	"tealpath/control"
	"tealpath/internal/logevent"
)

// The policy knows only the IDs of endpoints, which tell an operator nothing. Log effects must therefore contain the
// name of the endpoint.
func TestLogEffectsNameTheEndpoint(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*harness)
		want Log
	}{
		{
			"known endpoint",
			func(h *harness) { h.log(control.EndpointRestored{Endpoint: nameHash("s-a")}) },
			Log{Event: control.EndpointRestored{Endpoint: nameHash("s-a")}, Instance: "s-a"},
		},
		{
			"unknown endpoint",
			func(h *harness) { h.log(control.EndpointRestored{Endpoint: 12345}) },
			Log{Event: control.EndpointRestored{Endpoint: 12345}},
		},
		{
			"no endpoint",
			func(h *harness) { h.log(ConnectAvailable{}) },
			Log{Event: ConnectAvailable{}},
		},
		{
			"panic",
			func(h *harness) { h.recoverPanic(func() { panic("index out of range") }) },
			Log{Event: PanicRecovered{Cause: "index out of range"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDefaultHarness(t)
			h.effects = nil
			c.run(h)
			if !slices.Equal(h.effects, []Effect{c.want}) {
				t.Errorf("effects %#v, want %#v", h.effects, c.want)
			}
		})
	}
}

func TestLogEventNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, event := range slices.Concat(LogEvents(), control.LogEvents()) {
		name := event.Kind().Name
		if name == "" || seen[name] {
			t.Errorf("event %#v has the name %q, which is empty or used twice", event, name)
		}
		seen[name] = true
	}
	const want = "no connections can be opened because of an error on this machine cause=too many open files"
	if text := logevent.Text(ConnectUnavailable{Cause: "too many open files"}); text != want {
		t.Errorf("log text %q, want %q", text, want)
	}
}
