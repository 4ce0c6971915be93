package operatorconfig

import (
	"errors"
	"strings"
	"testing"
)

// The duration in (hold …) must be long enough for the first calls of all routers to the discovery service.
func TestReadinessHoldIsChecked(t *testing.T) {
	for _, c := range []struct {
		text    string
		routers int
		want    string // beginning of the error; empty: none
	}{
		{"(start (rate 100) (hold 4s))", 300, ""},
		{
			"(socket \"x\")\n (start (rate 100) (hold 2s))", 300,
			"2:2: a hold of 2000 ms is too short: 300 routers need 3000 ms for their calls at 100 per second",
		},
		{"(start (hold 4s))", 3, "1:1"},
		{"(start (rate 0) (hold 4s))", 3, "1:14"},
		{"(start (rate 100) (hold 2h))", 3, "1:25"},
		{"(start (rate 100) (hold 4s) (wait 3))", 3, "1:29"},
		{"", 300, ""},
	} {
		t.Run(c.text, func(t *testing.T) {
			file, err := Parse(c.text, "a", t.TempDir())
			if err == nil {
				err = file.CheckReadinessHold(c.routers)
			}
			if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want one that begins with %q (empty: no error)", err, c.want)
			}
		})
	}
}

// All routers of a location must be able to open one connection each to a cache within 30 s.
func TestConnectionLimitsAreChecked(t *testing.T) {
	for _, c := range []struct {
		text    string
		routers int
		want    string // beginning of the error; empty: none
	}{
		{"(links (holds 60))", 300, ""},
		{"(links (holds 60) (opens 20))", 300, ""},
		{
			"(socket \"x\")\n (links (holds 60) (opens 5))", 300,
			"2:2: 300 routers take 60 s to open one connection each at 5 a second",
		},
		{"(links (opens 5))", 3, "1:1"},
		{"(links (holds 0))", 3, "1:15"},
		{"(links (holds 60) (opens fast))", 3, "1:26"},
		{"", 300, ""},
	} {
		t.Run(c.text, func(t *testing.T) {
			file, err := Parse(c.text, "a", t.TempDir())
			if err == nil {
				err = file.CheckConnections(c.routers)
			}
			if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want one that begins with %q (empty: no error)", err, c.want)
			}
		})
	}
}

// For any text, Parse does not panic, and the first error that it returns has a line and a column.
func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add(`(a "b\n" (c ; d` + "\n" + `) )`)
	f.Add("(((((")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text, "a", t.TempDir())
		if err == nil {
			return
		}
		var first *Error
		if !errors.As(err, &first) || first.Position.Line < 1 || first.Position.Column < 1 {
			t.Errorf("error without a position: %v", err)
		}
	})
}
