package control

import (
	"strconv"

	"tealpath/internal/logevent"
)

// EndpointEjected is logged when an endpoint is ejected as an outlier. The endpoint then gets only probes until one
// of them succeeds.
type EndpointEjected struct {
	Endpoint     uint32  `log:"endpoint"`
	SilenceScore float64 `log:"silence_score"` // excess over the peers' mean; unit: see silenceThreshold
	Failures     float64 `log:"failures"`      // failed attempts, decayed over healthWindow
	Attempts     float64 `log:"attempts"`      // ended attempts, decayed over healthWindow
}

// Kind implements logevent.Event.
func (EndpointEjected) Kind() logevent.Kind {
	return logevent.Kind{Name: "endpoint_ejected", Level: logevent.Warn, Message: "endpoint ejected as an outlier"}
}

// EndpointID returns the ID of the endpoint that the event concerns.
func (e EndpointEjected) EndpointID() uint32 { return e.Endpoint }

// EndpointRestored is logged when a probe of an ejected endpoint has succeeded and the endpoint gets requests again.
type EndpointRestored struct {
	Endpoint uint32 `log:"endpoint"`
}

// Kind implements logevent.Event.
func (EndpointRestored) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "endpoint_restored",
		Level:   logevent.Info,
		Message: "endpoint restored after a successful probe",
	}
}

// EndpointID returns the ID of the endpoint that the event concerns.
func (e EndpointRestored) EndpointID() uint32 { return e.Endpoint }

// AdmissionLimitReduced is logged when the admission limit for one kind of attempts has fallen below half of its
// initial value, because too many responses were late.
type AdmissionLimitReduced struct {
	RequestKind string  `log:"request_kind"` // hits, fills or fetches
	Limit       float64 `log:"limit"`        // attempts in flight, as a multiple of the caches' capacity
}

// Kind implements logevent.Event.
func (AdmissionLimitReduced) Kind() logevent.Kind {
	return logevent.Kind{Name: "admission_limit_reduced", Level: logevent.Warn, Message: "admission limit reduced"}
}

// AdmissionLimitRestored is logged when a reduced admission limit has grown back to its initial value.
type AdmissionLimitRestored struct {
	RequestKind string  `log:"request_kind"` // hits, fills or fetches
	Limit       float64 `log:"limit"`        // attempts in flight, as a multiple of the caches' capacity
}

// Kind implements logevent.Event.
func (AdmissionLimitRestored) Kind() logevent.Kind {
	return logevent.Kind{Name: "admission_limit_restored", Level: logevent.Info, Message: "admission limit restored"}
}

// ClockAhead is logged once, when a cache has sent an entry that was issued before the timestamp of a purge
// although it observed the accepted age: this machine's clock is ahead of the other machines' clocks. From then on
// purges count from their arrival at this router, not from their timestamps.
type ClockAhead struct{}

// Kind implements logevent.Event.
func (ClockAhead) Kind() logevent.Kind {
	return logevent.Kind{
		Name:  "clock_ahead",
		Level: logevent.Warn,
		Message: "clock of this machine is ahead of other machines' clocks: " +
			"a cache sent an entry from before a purge, purges count from their arrival from now on",
	}
}

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		EndpointEjected{},
		EndpointRestored{},
		AdmissionLimitReduced{},
		AdmissionLimitRestored{},
		ClockAhead{},
	}
}

// Decimal places of numbers in log events.
const (
	scoreDecimals = 1
	limitDecimals = 2
)

// rounded returns a value rounded to a number of decimal places.
func rounded(value float64, decimals int) float64 {
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	short, _ := strconv.ParseFloat(text, 64) // cannot fail on a result of FormatFloat
	return short
}
