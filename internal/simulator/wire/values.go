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

// Text returns field i, or an empty string if the field is absent.
func (e Event) Text(i int) string {
	if e.Fields[i] == absent {
		return ""
	}
	return e.Fields[i]
}

// Int returns field i as a whole number, or 0 if the field is absent.
func (e Event) Int(i int) (int64, error) {
	if e.Fields[i] == absent {
		return 0, nil
	}
	number, err := strconv.ParseInt(e.Fields[i], 10, 64)
	if err != nil {
		return 0, &ValueError{Position: i + 1, Value: e.Fields[i], Want: "a whole number"}
	}
	return number, nil
}

// Bool returns field i, which is 1 for true and 0 for false, or false if the field is absent.
func (e Event) Bool(i int) (bool, error) {
	switch e.Fields[i] {
	case "1":
		return true, nil
	case "0", absent:
		return false, nil
	}
	return false, &ValueError{Position: i + 1, Value: e.Fields[i], Want: "0 or 1"}
}

// Float returns field i as a finite number, or 0 if the field is absent.
func (e Event) Float(i int) (float64, error) {
	if e.Fields[i] == absent {
		return 0, nil
	}
	number, err := strconv.ParseFloat(e.Fields[i], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, &ValueError{Position: i + 1, Value: e.Fields[i], Want: "a finite number"}
	}
	return number, nil
}

// Floats returns field i as a list of numbers, which are separated by commas. It returns nil if the field is absent
// or empty. An absent number in the list is 0.
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
			return nil, &ValueError{Position: i + 1, Value: e.Fields[i], Want: "numbers separated by commas"}
		}
		numbers[k] = number
	}
	return numbers, nil
}

// Time converts field i from seconds to ns. An absent field is 0.
func (e Event) Time(i int) (int64, error) {
	seconds, err := e.Float(i)
	return Nanos(seconds), err
}

// Nanos converts seconds to ns.
func Nanos(seconds float64) int64 {
	return int64(math.Round(seconds * nanosecondsPerSecond))
}

// Seconds formats a time in ns as decimal seconds, rounded down to whole microseconds. On the wire 0 is an absent
// value, so positive times below one microsecond are rounded up to one.
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
