package router

import (
	"strings"
	"testing"

	"tealpath/control"
)

// unwritten has the links' writers tell that they had written nothing of what they are asked to take back.
func (p *play) unwritten() {
	asked := p.asked
	p.asked = nil
	for _, w := range asked {
		p.take(AttemptWithdrawn(w))
	}
}

// Requests that wait on a link that is up, as its other side reads nothing.
func TestUnwritten(t *testing.T) {
	good := ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")}
	purge := func(p *play) {
		p.now += 200 * millisecond
		p.take(PurgeReceived{Object: object, PurgedAt: p.now - 50*millisecond})
	}
	drain := func(p *play) { p.list(func(l *EndpointEntry) { l.Phase = "draining" }) }
	for _, c := range []struct {
		name string
		do   func(*play)
		want string
	}{
		{"a purge is told: planned anew, with the new age", func(p *play) {
			p.ask(1, nil)
			p.up()
			purge(p)
			p.unwritten()
			p.up()
			if age := p.sends[1].Request.Attempt.MaxAge; age <= 0 || age >= 50*millisecond {
				p.t.Errorf("age %d", age)
			}
		}, "dial, send 1, dial, send 1"},
		{"a purge is told, and it is written: it is answered", func(p *play) { p.ask(1, nil); p.up(); purge(p); p.answer(good) },
			"dial, send 1, settled 1:bytes"},
		{"its cache drains: elsewhere", func(p *play) { p.ask(1, nil); p.up(); drain(p); p.unwritten(); p.up() },
			"dial, send 1, dial, send 1"},
		{"a one-shot's cache drains: it did not run", func(p *play) { p.ask(1, once); p.up(); drain(p); p.unwritten(); p.up() },
			"dial, send 1, dial, send 1"},
		{"its client closes its side: refused, and nothing more is sent", func(p *play) {
			p.ask(1, once)
			p.up()
			p.take(ClientHalfClosed{Client: 1})
			p.unwritten()
			p.pass(2 * second)
		}, "dial, send 1, dismissed 1"},
		{"its client closes its side, and it is written: it is answered", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(ClientHalfClosed{Client: 1})
			p.answer(good)
		}, "dial, send 1, settled 1:bytes"},
		{"half of its client's time passes: it did not run, and is refused by then", func(p *play) {
			p.ask(1, map[string]string{"verb": "permits", "limit": "600"})
			p.up()
			p.pass(291 * millisecond)
			p.unwritten()
		}, "dial, send 1, dismissed 1"},
		{"half of its client's time passes, and it is written: it has all its time", func(p *play) {
			p.ask(1, map[string]string{"limit": "600"})
			p.up()
			p.pass(550 * millisecond)
			p.answer(good)
		}, "dial, send 1, settled 1:bytes"},
		{"the writer finds that its time to be written has passed", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(AttemptWithdrawn{Connection: p.sends[0].Connection, ID: p.sends[0].Request.ID})
			p.up()
		}, "dial, send 1, dial, send 1"},
		{"told when it was given up already", func(p *play) {
			p.ask(1, nil)
			p.up()
			drain(p)
			p.take(RequestCancelled{Client: 1, Seq: 1})
			p.unwritten()
			p.pass(3 * second)
		}, "dial, send 1, abort 1"},
		{"told of a link that has ended", func(p *play) {
			p.ask(1, nil)
			p.up()
			drain(p)
			p.take(ConnectionDown{Connection: p.links[0], Unsent: []string{p.sends[0].Request.ID}})
			p.unwritten()
			p.up()
		}, "dial, send 1, dial, send 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := endings(t)
			c.do(p)
			for i, s := range p.seen {
				s, _, _ = strings.Cut(s, " 10.")
				p.seen[i] = strings.Replace(s, "000000000000000", "", 1)
			}
			if got := strings.Join(p.seen, ", "); got != c.want {
				t.Errorf("effects %s\nwant    %s", got, c.want)
			}
		})
	}
}

// Where caches can't be told that a request is given up, one that is not written yet is taken back all the same.
func TestTakenBackWithoutAWordToTheCache(t *testing.T) {
	for _, c := range []struct {
		name string
		end  Event
	}{{"cancelled", RequestCancelled{Client: 1, Seq: 1}}, {"reset", ClientDisconnected{Client: 1}}, {"closed", ClientHalfClosed{Client: 1}}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, func(_ *Limits, s *control.Settings) { s.CancelAttempts = false })
			p.ask(1, nil)
			p.up()
			p.take(c.end)
			want := WithdrawAttempt{Connection: p.sends[0].Connection, ID: p.sends[0].Request.ID}
			if len(p.asked) == 0 || p.asked[0] != want {
				t.Errorf("taken back %v, want %v", p.asked, want)
			}
		})
	}
}

// The answer's time is the same however late a request is written, and bounds when it may be.
func TestTimeToBeWritten(t *testing.T) {
	p := endings(t)
	p.ask(1, map[string]string{"limit": "600"})
	p.now += 100 * millisecond
	p.up()
	send := p.sends[0]
	if left := send.Request.Deadline - p.now; left != 480*millisecond {
		t.Errorf("to be answered within %d ms", left/millisecond)
	}
	if left := send.SendDeadline - p.now; left != 190*millisecond {
		t.Errorf("to be written within %d ms", left/millisecond)
	}
}

// A second attempt that waits for its link while the first one is answered: it isn't sent once the link comes up, also where
// the module calls nothing off.
func TestSecondAttemptIsNotSentAfterTheAnswer(t *testing.T) {
	p := newPlay(t, func(_ *Limits, s *control.Settings) { s.CancelAttempts = false })
	p.ask(1, nil)
	p.up()
	first := p.Router.connections[p.links[0]].endpoint
	other := p.endpoints["s-a"]
	if first == other {
		other = p.endpoints["s-b"]
	}
	p.startAttempt(p.clients[1][1], control.Attempt{Cache: other.ID, CacheOnly: true, SendTimeout: second})
	p.answer(ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")})
	p.take(ConnectionUp{Connection: p.lastConnection})
	if got := strings.Join(p.seen[1:], ", "); got != "send 0000000000000001, settled 1:bytes" {
		t.Errorf("effects %s", got)
	}
}
