package server

import (
	"bytes"
	"errors"
	"tealpath/internal/logevent"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

type loggedEvent struct {
	Endpoint uint32        `log:"endpoint"`
	Elapsed  time.Duration `log:"elapsed_ms"`
	Cause    error         `log:"cause"`
	Slots    []int         `log:"slots,omitempty"`
}

func (loggedEvent) Kind() logevent.Kind {
	return logevent.Kind{Name: "endpoint_ejected", Level: logevent.Warn, Message: "endpoint ejected as an outlier"}
}

// A duration is written in milliseconds, an error as its text, and an empty omitempty field not at all.
func TestWriteEventAsJSON(t *testing.T) {
	var out bytes.Buffer
	event := loggedEvent{Endpoint: 17, Elapsed: 1500 * time.Microsecond, Cause: errors.New("connection refused")}
	WriteEvent(zerolog.New(&out), event)
	want := `{"level":"warn","event":"endpoint_ejected","endpoint":17,"elapsed_ms":1.5,"cause":"connection refused",` +
		`"message":"endpoint ejected as an outlier"}` + "\n"
	if out.String() != want {
		t.Errorf("%s, want %s", out.String(), want)
	}
}
