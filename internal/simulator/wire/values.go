package wire

import (
	"math"
	"strconv"
	"strings"
)

const (
	nanosecondsPerSecond      = 1e9
	nanosecondsPerMicrosecond = 1000
	microsecondsPerSecond     = 1e6
)

// Text returns field i, or an empty text where it is absent.
func (e Event) Text(i int) string {
	if e.Fields[i] == absent {
		return ""
	}
	return e.Fields[i]
}

// Int returns field i as a whole number; an absent one is 0.
func (e Event) Int(i int) (int64, error) {
	if e.Fields[i] == absent {
		return 0, nil
	}
	number, err := strconv.ParseInt(e.Fields[i], 10, 64)
	if err != nil {
		return 0, &ValueError{Position: i + 1, Want: "not a whole number"}
	}
	return number, nil
}

// Bool returns field i as a switch; an absent one is false.
func (e Event) Bool(i int) (bool, error) {
	switch e.Fields[i] {
	case "1":
		return true, nil
	case "0", absent:
		return false, nil
	}
	return false, &ValueError{Position: i + 1, Want: "neither 0 nor 1"}
}

// Float returns field i as a finite number; an absent one is 0.
func (e Event) Float(i int) (float64, error) {
	if e.Fields[i] == absent {
		return 0, nil
	}
	number, err := strconv.ParseFloat(e.Fields[i], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, &ValueError{Position: i + 1, Want: "not a number"}
	}
	return number, nil
}

// Floats returns field i as a row of numbers with commas between them. An absent row is nil, an absent number
// in it is 0.
func (e Event) Floats(i int) ([]float64, error) {
	if e.Fields[i] == absent || e.Fields[i] == "" {
		return nil, nil
	}
	parts := strings.Split(e.Fields[i], ",")
	numbers := make([]float64, len(parts))
	for k, part := range parts {
		if part == absent {
			continue
		}
		number, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return nil, &ValueError{Position: i + 1, Want: "not a row of numbers"}
		}
		numbers[k] = number
	}
	return numbers, nil
}

// Time returns field i, given in seconds, in ns.
func (e Event) Time(i int) (int64, error) {
	seconds, err := e.Float(i)
	return Nanos(seconds), err
}

// Nanos converts seconds to ns.
func Nanos(seconds float64) int64 {
	return int64(math.Round(seconds * nanosecondsPerSecond))
}

// Seconds converts ns to seconds, to the microsecond that the wire counts in, rounded down. Zero is absent on
// the wire, so a shorter positive time becomes one microsecond.
func Seconds(ns int64) string {
	if ns == 0 {
		return absent
	}
	micros := ns / nanosecondsPerMicrosecond
	if micros == 0 {
		micros = 1
	}
	return strconv.FormatFloat(float64(micros)/microsecondsPerSecond, 'f', -1, 64)
}
