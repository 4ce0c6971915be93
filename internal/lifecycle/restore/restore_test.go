package restore

import (
	"errors"
	"fmt"
	"testing"
)

func TestAssess(t *testing.T) {
	const now = 10_000 * second
	header := func(version int, router string, settings uint64, takenAt int64) Header {
		return Header{Version: version, Router: router, SettingsDigest: settings, TakenAt: takenAt}
	}
	own := header(FormatVersion, "n1", 7, 0)
	for _, test := range []struct {
		name   string
		stored Header
		want   Scope
		reason Reason
		text   string // "": all may be used
	}{
		{"a moment ago", header(FormatVersion, "n1", 7, now-second), All, 0, ""},
		{"a minute ago", header(FormatVersion, "n1", 7, now-maxRateAge), All, 0, ""},
		{
			"over a minute ago", header(FormatVersion, "n1", 7, now-maxRateAge-1),
			WithoutRates, Old, "it is 60 s old",
		},
		{"over an hour ago", header(FormatVersion, "n1", 7, now-maxAge-1), None, Old, "it is 3600 s old"},
		{"another router's", header(FormatVersion, "n2", 7, now), None, OtherRouter, `it is router "n2"'s`},
		{
			"under other settings", header(FormatVersion, "n1", 8, now),
			None, OtherSettings, "it was learned under other settings",
		},
		{
			"from a newer program", header(FormatVersion+1, "n1", 7, now),
			None, OtherVersion, "it is of version 2, this program reads 1",
		},
		{
			"from an older program", header(FormatVersion-1, "n1", 7, now),
			None, OtherVersion, "it is of version 0, before this program's 1",
		},
		{"the clock was set back a little", header(FormatVersion, "n1", 7, now+second), All, 0, ""},
		{
			"the clock was set back an hour", header(FormatVersion, "n1", 7, now+3600*second),
			None, InFuture, "it is of 3600 s in the future",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			scope, err := Assess(now, own, test.stored)
			if scope != test.want || (scope == All) != (err == nil) {
				t.Fatalf("%s, %v", scope, err)
			}
			if err == nil {
				return
			}
			var limit *LimitError
			if !errors.As(err, &limit) || limit.Reason != test.reason || limit.Stored != test.stored {
				t.Fatalf("%+v, want reason %v", err, test.reason)
			}
			if err.Error() != test.text {
				t.Errorf("%q, want %q", err, test.text)
			}
		})
	}
}

func TestListConfirmation(t *testing.T) {
	for _, test := range []struct {
		name    string
		observe func(*ListConfirmation) Outcome
		want    Outcome
	}{
		{"the same event", func(c *ListConfirmation) Outcome { return c.ObserveEvent(5, 9) }, Confirmed},
		{"another text", func(c *ListConfirmation) Outcome { return c.ObserveEvent(5, 8) }, Denied},
		{"another number", func(c *ListConfirmation) Outcome { return c.ObserveEvent(6, 9) }, Denied},
		{"a comment first", func(c *ListConfirmation) Outcome { return c.ObserveComment() }, Denied},
		{"once only", func(c *ListConfirmation) Outcome { c.ObserveEvent(5, 9); return c.ObserveEvent(5, 9) }, Pending},
		{
			"a comment later",
			func(c *ListConfirmation) Outcome { c.ObserveEvent(5, 9); return c.ObserveComment() },
			Pending,
		},
		{
			"without a list",
			func(*ListConfirmation) Outcome { return (*ListConfirmation)(nil).ObserveEvent(5, 9) },
			Pending,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			confirmation := &ListConfirmation{Position: 5, Digest: 9}
			if after := confirmation.ResumeAfter(); after != 4 {
				t.Errorf("resumes after %d", after)
			}
			if got := test.observe(confirmation); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// The names of scopes are fields of log lines that docs/oncall.md explains.
func TestNames(t *testing.T) {
	got := fmt.Sprint(None, WithoutRates, All, Scope(9), Pending, Confirmed, Denied, Outcome(9),
		OtherVersion, OtherRouter, OtherSettings, InFuture, Old, &LimitError{Reason: 9})
	const want = "nothing beliefs whole scope 9 pending confirmed denied outcome 9 " +
		"other version other router other settings in the future old reason 9"
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
