package router

import (
	"slices"
	"tealpath/control"
	"tealpath/internal/logevent"
	"testing"
)

// A log effect names the endpoint that its event concerns; the fault of one event ends nothing but that event.
func TestLogEffects(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*play)
		want Log
	}{
		{
			"known endpoint",
			func(p *play) { p.log(control.EndpointRestored{Endpoint: p.endpoints["s-a"].ID}) },
			Log{Instance: "s-a"},
		},
		{
			"unknown endpoint",
			func(p *play) { p.log(control.EndpointRestored{Endpoint: 12345}) },
			Log{Event: control.EndpointRestored{Endpoint: 12345}},
		},
		{
			"no endpoint",
			func(p *play) { p.log(ConnectAvailable{}) },
			Log{Event: ConnectAvailable{}},
		},
		{
			"panic",
			func(p *play) { p.recovering(func() { panic("index out of range") }) },
			Log{Event: PanicRecovered{Cause: "index out of range"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, nil)
			p.effects = nil
			c.do(p)
			if c.want.Event == nil {
				c.want.Event = control.EndpointRestored{Endpoint: p.endpoints["s-a"].ID}
			}
			if !slices.Equal(p.effects, []Effect{c.want}) {
				t.Errorf("effects %#v, want %#v", p.effects, c.want)
			}
		})
	}
}

func TestLogEventsAreNamedOnce(t *testing.T) {
	seen := map[string]bool{}
	for _, event := range slices.Concat(LogEvents(), control.LogEvents()) {
		name := event.Kind().Name
		if name == "" || seen[name] {
			t.Errorf("event %#v", event)
		}
		seen[name] = true
	}
	if text := logevent.Text(ConnectUnavailable{Cause: "too many open files"}); text !=
		"no connections can be opened because of an error on this machine cause=too many open files" {
		t.Error(text)
	}
}
