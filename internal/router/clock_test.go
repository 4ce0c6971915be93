package router

import (
	"slices"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/logevent"
)

// A cache answers with a copy from before a purge, as it finds it young enough: our axis is ahead of its clock. It is not passed
// on, the same cache is asked once more, for a copy from after the purge was told; the next purge counts from its telling.
func TestACopyFromBeforeAPurgeIsNotPassedOn(t *testing.T) {
	const ahead = 600 * second
	for _, c := range []struct {
		name     string
		fields   map[string]string
		want     string
		attempts int
	}{
		{"asked again", nil, "send 1, send 1, settled 1:new", 2},
		{"never where it may run once only", map[string]string{"verb": "permits"}, "send 1, aborted 1", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, func(_ *Limits, s *control.Settings) {
				s.Classes = append(s.Classes, permits())
			})
			p.take(PurgeReceived{Object: object, PurgedAt: p.now - ahead - 50*millisecond})
			p.pass(second)
			p.seen = nil
			p.ask(1, c.fields)
			p.up()
			if age := p.sends[0].Request.Attempt.MaxAge; age <= 3*second/2 {
				t.Fatalf("age %v: the case is another", age)
			}
			p.answer(ResponseReceived{Result: control.Succeeded, IssuedAt: p.now - ahead - 3*second/2, Body: []byte(":old")})
			if c.attempts > 1 {
				if age := p.sends[1].Request.Attempt.MaxAge; age > second || p.sends[1].Connection != p.sends[0].Connection {
					t.Errorf("asked again with age %v on link %d", age, p.sends[1].Connection)
				}
				p.answer(ResponseReceived{Result: control.Succeeded, IssuedAt: p.now - ahead - second/2, Body: []byte(":new")})
			}
			if got := strings.ReplaceAll(strings.Join(p.seen[1:], ", "), "000000000000000", ""); got != c.want {
				t.Errorf("%s\nwant %s", got, c.want)
			}
			if want := []logevent.Event{control.ClockAhead{}}; !slices.Equal(p.logged, want) {
				t.Errorf("logged %#v, want %#v", p.logged, want)
			}
			p.take(PurgeReceived{Object: object, PurgedAt: p.now - ahead})
			p.pass(second / 10)
			p.ask(2, nil)
			if age := p.sends[len(p.sends)-1].Request.Attempt.MaxAge; age > second/10 {
				t.Errorf("after the next purge: age %v", age)
			}
		})
	}
}

// A member that starts again under a stamp before the last, told by a clock that was set back: its links lead nowhere.
func TestARestartUnderAnEarlierStamp(t *testing.T) {
	p := newPlay(t, nil)
	p.ask(1, nil)
	p.up()
	address := p.Router.connections[p.links[0]].address
	line := fleet[slices.IndexFunc(fleet, func(l EndpointEntry) bool { return l.Address == address })]
	told := func(started int64) {
		line.StartedAt = started
		p.take(EndpointListUpdated{Entries: []EndpointEntry{line}})
	}
	told(start)
	p.ask(2, nil)
	for _, link := range p.links[1:] {
		p.take(ConnectionUp{Connection: link})
	}
	p.seen = nil
	told(start - 600*second)
	if !strings.Contains(strings.Join(p.seen, ", "), "close") {
		t.Errorf("%v: no link was closed", p.seen)
	}
	p.seen = nil
	told(start - 600*second)
	if strings.Contains(strings.Join(p.seen, ", "), "close") {
		t.Errorf("%v: told once more it is no restart", p.seen)
	}
}
