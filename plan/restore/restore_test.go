package restore

import "testing"

func TestJudge(t *testing.T) {
	const now = 10_000 * second
	own := Header{FormatVersion, "n1", 7, 0}
	for _, c := range []struct {
		name string
		kept Header
		want Scope
	}{
		{"a moment ago", Header{FormatVersion, "n1", 7, now - second}, All},
		{"a minute ago", Header{FormatVersion, "n1", 7, now - ratesFor}, All},
		{"over a minute ago", Header{FormatVersion, "n1", 7, now - ratesFor - 1}, WithoutRates},
		{"yesterday", Header{FormatVersion, "n1", 7, now - beliefsFor - 1}, None},
		{"another router's", Header{FormatVersion, "n2", 7, now}, None},
		{"under other settings", Header{FormatVersion, "n1", 8, now}, None},
		{"from a newer program", Header{FormatVersion + 1, "n1", 7, now}, None},
		{"from an older program", Header{FormatVersion - 1, "n1", 7, now}, None},
		{"the clock was set back a little", Header{FormatVersion, "n1", 7, now + second}, All},
		{"the clock was set back an hour", Header{FormatVersion, "n1", 7, now + 3600*second}, None},
	} {
		if use, why := Assess(now, own, c.kept); use != c.want || (use == All) != (why == "") {
			t.Errorf("%s: %s, %q", c.name, use, why)
		}
	}
}

func TestConfirm(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*ListConfirmation) Outcome
		want Outcome
	}{
		{"the same event", func(c *ListConfirmation) Outcome { return c.ObserveEvent(5, 9) }, Confirmed},
		{"another text", func(c *ListConfirmation) Outcome { return c.ObserveEvent(5, 8) }, Denied},
		{"another number", func(c *ListConfirmation) Outcome { return c.ObserveEvent(6, 9) }, Denied},
		{"a comment first", func(c *ListConfirmation) Outcome { return c.ObserveComment() }, Denied},
		{"once only", func(c *ListConfirmation) Outcome { c.ObserveEvent(5, 9); return c.ObserveEvent(5, 9) }, Pending},
		{"a comment later", func(c *ListConfirmation) Outcome { c.ObserveEvent(5, 9); return c.ObserveComment() }, Pending},
		{"nothing is kept", func(*ListConfirmation) Outcome { return (*ListConfirmation)(nil).ObserveEvent(5, 9) }, Pending},
	} {
		if got := c.play(&ListConfirmation{Position: 5, Digest: 9}); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}
