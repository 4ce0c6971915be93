package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/logevent"
)

// Errors of this machine's own: nothing was sent, nothing is held against a member, and it is tried again in time.
func TestLocalErrors(t *testing.T) {
	good := ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")}
	fails := func(p *play) {
		p.take(ConnectionDown{Connection: p.links[len(p.links)-1], Cause: Local, Reason: "no descriptors"})
	}
	for _, c := range []struct {
		name string
		do   func(*play)
		want string
	}{
		{"dialled again once the wait is over, and served", func(p *play) {
			p.ask(1, nil)
			fails(p)
			p.seen = append(p.seen, "failed")
			p.pass(24 * millisecond) // a sixteenth of the time to come up is 25 ms
			p.seen = append(p.seen, "24 ms")
			p.pass(60 * millisecond)
			p.up()
			p.answer(good)
		}, "dial, failed, 24 ms, dial, send 1, settled 1:bytes"},
		{"tried at ever longer waits, and refused before half its time", func(p *play) {
			p.ask(1, map[string]string{"limit": "1020"})
			for range 499 {
				if len(p.links) > 0 && p.Router.connections[p.links[len(p.links)-1]] != nil {
					fails(p)
				}
				p.pass(millisecond)
			}
		}, "dial, dial, dial, dial, dial, dismissed 1"},
		{"no second member is dialled meanwhile", func(p *play) {
			p.ask(1, nil)
			fails(p)
			p.ask(2, map[string]string{"item": elsewhere(p.t)})
			p.pass(20 * millisecond)
		}, "dial"},
		{"a link that stands to another member is used", func(p *play) {
			p.ask(1, map[string]string{"item": elsewhere(p.t)})
			p.up()
			p.answer(good)
			p.ask(2, nil)
			fails(p)
		}, "dial, send 1, settled 1:bytes, dial, send 2"},
		{"on a link that stood what was written may have run", func(p *play) {
			p.ask(1, once)
			p.up()
			fails(p)
			p.pass(3 * second)
		}, "dial, send 1, aborted 1"},
		{"and what was not may go again", func(p *play) {
			p.ask(1, once)
			p.up()
			p.take(ConnectionDown{Connection: p.links[0], Cause: Local, Unsent: []string{fmt.Sprintf("%016x", 1)}})
			p.up()
		}, "dial, send 1, dial, send 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := endings(t)
			c.do(p)
			var seen []string
			for _, s := range p.seen {
				if strings.HasPrefix(s, "dial ") {
					s = "dial"
				}
				seen = append(seen, strings.ReplaceAll(s, "000000000000000", ""))
			}
			if got := strings.Join(seen, ", "); got != c.want {
				t.Errorf("%s\nwant %s", got, c.want)
			}
		})
	}
}

// However many requests fail for want of descriptors, no member is suspected, and the log says it twice.
func TestLocalErrorsEjectNobody(t *testing.T) {
	p := endings(t)
	for seq := int32(1); seq <= 200; seq++ {
		p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", uint64(seq)*0x9e3779b97f4a7c15), "limit": "800"})
		for _, id := range sortedKeys(p.Router.connections) {
			p.take(ConnectionDown{Connection: id, Cause: Local, Reason: "no descriptors"})
		}
		p.pass(10 * millisecond)
	}
	if n := len(p.links); n < 10 || n > 60 {
		t.Errorf("%d dials in two seconds", n)
	}
	for _, id := range sortedKeys(p.Router.connections) {
		p.take(ConnectionUp{Connection: id})
	}
	p.pass(second)
	if p.InFlight() != 0 {
		t.Errorf("%d are not answered", p.InFlight())
	}
	p.ask(500, nil)
	p.up()
	if want := []logevent.Event{ConnectUnavailable{Cause: "no descriptors"}, ConnectAvailable{}}; !slices.Equal(p.logged, want) {
		t.Errorf("logged %#v, want %#v", p.logged, want)
	}
}

// Where dials to one member alone fail here, as for want of local ports to its address, it is not suspected beside one that answers.
func TestLocalErrorsAtOneMember(t *testing.T) {
	p := endings(t)
	refused := 0
	for seq := int32(1); seq <= 300; seq++ {
		p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", uint64(seq)*0x9e3779b97f4a7c15)})
		for _, id := range sortedKeys(p.Router.connections) {
			switch connection := p.Router.connections[id]; {
			case connection.established:
			case connection.endpoint.Instance == "s-a":
				refused++
				p.take(ConnectionDown{Connection: id, Cause: Local, Reason: "no ports"})
			default:
				p.take(ConnectionUp{Connection: id})
			}
		}
		for _, id := range sortedKeys(p.Router.connections) {
			for _, attempt := range p.Router.attemptsOn(p.Router.connections[id]) {
				if attempt.connection.established {
					p.take(ResponseReceived{Connection: id, ID: attempt.upstream.ID, Result: control.Succeeded, Body: []byte(":bytes")})
				}
			}
		}
		p.pass(10 * millisecond)
	}
	if refused < 10 {
		t.Errorf("%d dials failed", refused)
	}
	for _, event := range p.logged {
		if ejected, ok := event.(control.EndpointEjected); ok {
			t.Errorf("ejected: %+v", ejected)
		}
	}
}

// While this machine can open no connections, and the one that stands is full, attempts end at once. They are bounded: they were
// made again without end, in one call.
func TestAttemptsWithoutAConnectionAreBounded(t *testing.T) {
	p := newPlay(t, func(_ *Limits, s *control.Settings) { s.MaxStreamsPerConnection = 1 })
	p.ask(1, nil)
	p.up()
	p.ask(2, map[string]string{"item": elsewhere(t)})
	p.take(ConnectionDown{Connection: p.links[len(p.links)-1], Cause: Local, Reason: "no descriptors"})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ask(3, nil) // its endpoint has a connection, which is full
		p.pass(3 * second)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("one call does not end")
	}
}
