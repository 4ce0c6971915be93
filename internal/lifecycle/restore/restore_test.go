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
		text   string // text of the error; empty: all of the snapshot may be used
	}{
		{"a moment ago", header(FormatVersion, "n1", 7, now-second), All, 0, ""},
		{"a minute ago", header(FormatVersion, "n1", 7, now-maxRateAge), All, 0, ""},
		{
			"over a minute ago", header(FormatVersion, "n1", 7, now-maxRateAge-1),
			WithoutRates, TooOld, "it is 60 s old, the limit is 60 s for request rates and 3600 s for all else",
		},
		{
			"over an hour ago", header(FormatVersion, "n1", 7, now-maxAge-1),
			None, TooOld, "it is 3600 s old, the limit is 60 s for request rates and 3600 s for all else",
		},
		{
			"another router's", header(FormatVersion, "n2", 7, now),
			None, OtherRouter, `it was written by router "n2", this is router "n1"`,
		},
		{
			"under other settings", header(FormatVersion, "n1", 8, now),
			None, OtherSettings,
			"it was taken under other settings: their digest is 0x8, that of the present ones is 0x7",
		},
		{
			"from a newer program", header(FormatVersion+1, "n1", 7, now),
			None, OtherVersion, "it has version 2, this program reads version 1",
		},
		{
			"from an older program", header(FormatVersion-1, "n1", 7, now),
			None, OtherVersion, "it has version 0, older than version 1 that this program reads",
		},
		{"the clock was set back a little", header(FormatVersion, "n1", 7, now+second), All, 0, ""},
		{
			"the clock was set back an hour", header(FormatVersion, "n1", 7, now+3600*second),
			None, InFuture, "it was taken 3600 s in the future, at most 5 s are allowed",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			scope, err := Assess(now, own, test.stored)
			if scope != test.want || (scope == All) != (err == nil) {
				t.Fatalf("scope %s, error %v; want scope %s", scope, err, test.want)
			}
			if err == nil {
				return
			}
			var limit *LimitError
			if !errors.As(err, &limit) || limit.Reason != test.reason || limit.Stored != test.stored {
				t.Fatalf("error %v, want reason %v and the stored header %+v", err, test.reason, test.stored)
			}
			if err.Error() != test.text {
				t.Errorf("error %q, want %q", err, test.text)
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
		{"another text", func(c *ListConfirmation) Outcome { return c.ObserveEvent(5, 8) }, Outdated},
		{"another number", func(c *ListConfirmation) Outcome { return c.ObserveEvent(6, 9) }, Outdated},
		{"a comment first", func(c *ListConfirmation) Outcome { return c.ObserveComment() }, Outdated},
		{
			"the same event twice",
			func(c *ListConfirmation) Outcome { c.ObserveEvent(5, 9); return c.ObserveEvent(5, 9) },
			Pending,
		},
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
				t.Errorf("the watch resumes after position %d, want 4", after)
			}
			if got := test.observe(confirmation); got != test.want {
				t.Errorf("outcome %v, want %v", got, test.want)
			}
		})
	}
}

// docs/oncall.md explains log lines by the names of scopes, so a changed name would leave operators without help.
func TestNames(t *testing.T) {
	got := fmt.Sprint(None, WithoutRates, All, Scope(9), Pending, Confirmed, Outdated, Outcome(9),
		OtherVersion, OtherRouter, OtherSettings, InFuture, TooOld, &LimitError{Reason: 9})
	const want = "nothing beliefs whole scope 9 pending confirmed denied outcome 9 " +
		"other version other router other settings in the future old reason 9"
	if got != want {
		t.Errorf("names %q, want %q", got, want)
	}
}
