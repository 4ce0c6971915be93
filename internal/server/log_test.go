package server

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/logevent"
	"tealpath/internal/router"

	"github.com/rs/zerolog"
)

// loggedEvent has a field of each type that WriteEvent formats differently.
type loggedEvent struct {
	Endpoint uint32        `log:"endpoint"`
	Elapsed  time.Duration `log:"elapsed_ms"`
	Cause    error         `log:"cause"`
	Slots    []int         `log:"slots,omitempty"`
}

func (loggedEvent) Kind() logevent.Kind {
	return logevent.Kind{Name: "endpoint_ejected", Level: logevent.Warn, Message: "endpoint ejected as an outlier"}
}

// A duration is written in milliseconds, an error as its text, and an empty field with omitempty not at all.
func TestWriteEventAsJSON(t *testing.T) {
	var out bytes.Buffer
	event := loggedEvent{Endpoint: 17, Elapsed: 1500 * time.Microsecond, Cause: errors.New("connection refused")}
	WriteEvent(zerolog.New(&out), event)
	want := `{"level":"warn","event":"endpoint_ejected","endpoint":17,"elapsed_ms":1.5,"cause":"connection refused",` +
		`"message":"endpoint ejected as an outlier"}` + "\n"
	if out.String() != want {
		t.Errorf("wrote %s, want %s", out.String(), want)
	}
}

// If an event of the reducer is about one endpoint, the endpoint's name is written before the event's fields.
func TestRouterEventNamesEndpoint(t *testing.T) {
	for _, c := range []struct {
		name string
		log  router.Log
		want string
	}{
		{
			"about an endpoint",
			router.Log{Event: loggedEvent{Endpoint: 17}, Instance: "s-a"},
			`{"level":"warn","router":"n1","instance":"s-a","event":"endpoint_ejected","endpoint":17,"elapsed_ms":0,` +
				`"cause":null,"message":"endpoint ejected as an outlier"}` + "\n",
		},
		{
			"about no endpoint",
			router.Log{Event: router.ConnectAvailable{}},
			`{"level":"info","router":"n1","event":"connect_available",` +
				`"message":"connections can be opened again"}` + "\n",
		},
		{
			"a panic",
			router.Log{Event: router.PanicRecovered{Cause: "index out of range"}},
			`{"level":"error","router":"n1","event":"panic_recovered","cause":"index out of range",` +
				`"message":"recovered from a panic while handling an event"}` + "\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			s := New(&config.Config{Name: "n1"}, nil, zerolog.New(&out))
			s.emitRouterEvent(c.log)
			if out.String() != c.want {
				t.Errorf("wrote %s, want %s", out.String(), c.want)
			}
		})
	}
}
