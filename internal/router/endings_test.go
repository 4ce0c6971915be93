package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
)

// What a test of endings plays on: two products, one of which may run once only, and one that is kept nowhere.
func endings(t *testing.T) *play {
	return newPlay(t, func(_ *Limits, s *control.Settings) {
		uncacheable := permits()
		uncacheable.Uncacheable = true
		s.Classes = append(s.Classes, uncacheable)
	})
}

var once = map[string]string{"verb": "permits"}

func TestEndings(t *testing.T) {
	good := ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")}
	bare := ResponseReceived{Result: control.ServerError, Unversioned: true, Body: []byte(":done")}
	gone := ClientHalfClosed{Client: 1}
	for _, c := range []struct {
		name string
		do   func(*play)
		want string
	}{
		// A client that has closed its side while its request waits: it was sent on when its turn came, seconds later.
		{"closed while its link comes up: refused at once, and not sent", func(p *play) {
			p.ask(1, nil)
			p.take(gone)
			p.pass(100 * millisecond)
			p.up()
			p.pass(2 * second)
		}, "dial, dismissed 1"},
		{"closed while in flight: it may still read", func(p *play) { p.ask(1, nil); p.up(); p.take(gone); p.answer(good) },
			"dial, send 1, settled 1:bytes"},
		{"closed while in flight, and that fails: no further attempt", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(gone)
			p.answer(ResponseReceived{Result: control.Overloaded})
			p.pass(2 * second)
		}, "dial, send 1, dismissed 1"},
		{"closed while in flight, and nothing comes: no second one beside it", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(gone)
			p.pass(3 * second)
		}, "dial, send 1, abort 1, close 1, dismissed 1"},
		{"closed while a one-shot is in flight that breaks: it may have run", func(p *play) {
			p.ask(1, once)
			p.up()
			p.take(gone)
			p.take(ConnectionDown{Connection: p.links[0]})
		}, "dial, send 1, aborted 1"},
		{"closed while held", func(p *play) {
			phase := func(phase string) {
				for _, line := range fleet[:2] {
					line.Phase = phase
					p.take(EndpointListUpdated{Entries: []EndpointEntry{line}})
				}
			}
			phase("draining")
			p.ask(1, nil)
			p.pass(10 * millisecond)
			if len(p.seen) > 0 {
				p.t.Fatalf("not held: %v", p.seen)
			}
			p.take(gone)
			phase("ready")
			p.pass(2 * second)
		}, "dismissed 1"},
		{"closed with one of two in flight", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.ask(2, map[string]string{"item": elsewhere(p.t)}) // its cache has no link yet
			p.take(gone)
			p.answer(good)
		}, "dial, send 1, dial, dismissed 2, settled 1:bytes"},

		// A router that ends cuts the time of what it has.
		{"leaving while its link comes up: its time is cut all the same", func(p *play) {
			p.ask(1, nil)
			p.take(ShutdownStarted{AnswerDeadline: p.now + 300*millisecond})
			p.pass(100 * millisecond)
			p.up()
			if budget := p.sends[0].Request.Deadline - p.now; budget != 200*millisecond {
				p.t.Errorf("the cache is told to answer within %d ms", budget/millisecond)
			}
			p.pass(201 * millisecond)
		}, "dial, send 1, abort 1, dismissed 1"},

		// The same id on another connection, whose client closed the one before.
		{"asked again elsewhere under its id: the new one is served", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(gone)
			p.again(1)
			p.pass(500 * millisecond)
		}, "dial, send 1, aborted 1, abort 1, dial"},
		{"a one-shot asked again elsewhere under its id may have run", func(p *play) {
			p.ask(1, once)
			p.up()
			p.take(gone)
			p.again(1, "verb", "permits")
		}, "dial, send 1, aborted 1, abort 1, aborted 1"},
		{"its id on another connection while it is waited for", func(p *play) { p.ask(1, nil); p.up(); p.again(1); p.answer(good) },
			"dial, send 1, unusable 1, settled 1:bytes"},

		// A link that comes up in the very moment in which the time for that is over, the timer being late.
		{"up in time", func(p *play) { p.ask(1, map[string]string{"limit": "600"}); p.now += 289 * millisecond; p.up() },
			"dial, send 1"},
		{"up as its time is over: not written", func(p *play) {
			p.ask(1, map[string]string{"limit": "600"})
			p.now += 300 * millisecond
			p.up()
		}, "dial, dismissed 1"},
		{"an answer as its time is over: it is served", func(p *play) {
			p.ask(1, map[string]string{"limit": "600"})
			p.up()
			p.now += 580 * millisecond
			p.answer(good)
		}, "dial, send 1, settled 1:bytes"},

		// A second answer to the first attempt passed for one to the second: what ran went for never run, and ran twice.
		{"a one-shot's first attempt is answered twice", func(p *play) {
			p.ask(1, once)
			p.up()
			first := p.sends[0]
			missing := ResponseReceived{Connection: first.Connection, ID: first.Request.ID, Result: control.NotHeld}
			p.take(missing)
			p.up()
			p.take(missing)
			p.answer(bare)
		}, "dial, send 1, dial, send 1, settled 1:done"},

		// What no cache keeps has no copy to be named.
		{"an answer that names no copy, of what is never kept", func(p *play) { p.ask(1, once); p.up(); p.answer(bare) },
			"dial, send 1, settled 1:done"},
		{"an answer that names no copy, of what is kept", func(p *play) { p.ask(1, nil); p.up(); p.answer(bare) },
			"dial, send 1, send 1"},
		{"another fault of what is never kept", func(p *play) { p.ask(1, once); p.up(); p.answer(ResponseReceived{Result: control.ServerError}) },
			"dial, send 1, aborted 1"},
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
			if len(p.requestsByID) != p.inFlight {
				t.Errorf("%d ids, %d in hand", len(p.requestsByID), p.inFlight)
			}
		})
	}
}

// elsewhere is an object whose home is another cache than the usual one's.
func elsewhere(t *testing.T) string {
	home := func(item string) string {
		p := endings(t)
		p.ask(1, map[string]string{"item": item})
		return p.Router.connections[p.links[0]].address
	}
	for n := range 100 {
		if item := fmt.Sprintf("%016x", n); home(item) != home(object) {
			return item
		}
	}
	t.Fatal("all objects have one home")
	return ""
}

// again asks under an id in use, on another connection.
func (p *play) again(seq int32, change ...string) {
	fields := map[string]string{"verb": "stills", "txn": fmt.Sprintf("%016x", seq), "limit": "2500", "item": object, "nth": "0", "batch": "17"}
	for i := 0; i < len(change); i += 2 {
		fields[change[i]] = change[i+1]
	}
	p.take(RequestReceived{Client: 2, Seq: seq, Fields: fields})
}

// The idempotency key goes on with every attempt: without it a request was not as its client had sent it.
func TestKeyGoesOn(t *testing.T) {
	p := endings(t)
	p.ask(1, map[string]string{"unique": "6ad8595c69c03e9f5892348d52ee1791"})
	p.up()
	if got := p.sends[0].Request.IdempotencyKey; got != "6ad8595c69c03e9f5892348d52ee1791" {
		t.Errorf("key %q", got)
	}
	p.ask(2, map[string]string{"unique": "a,miss=o-a"})
	if last := p.seen[len(p.seen)-1]; last != "unusable 2" {
		t.Errorf("a key that would pass for fields: %s", last)
	}
}

// Of more caches than the router may have links, those that have one serve what belongs to the others.
func TestMoreCachesThanLinks(t *testing.T) {
	const caches, most, requests = 60, 8, 100
	p := newPlay(t, func(l *Limits, _ *control.Settings) { l.MaxConnections = most })
	list := EndpointListUpdated{Complete: true, Entries: slices.Clone(fleet[2:])}
	for n := range caches {
		list.Entries = append(list.Entries, EndpointEntry{fmt.Sprintf("s-%02d", n), fmt.Sprintf("10.0.1.%d:1", n),
			control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}})
	}
	p.take(list)
	settled := 0
	for seq := int32(1); seq <= requests; seq++ {
		dialled, sent := len(p.links), len(p.sends)
		p.seen = nil
		p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", 1000+seq), "nth": "0"})
		if len(p.links) > dialled {
			p.up()
		}
		if len(p.sends) > sent {
			p.answer(ResponseReceived{Result: control.Succeeded, Body: []byte("a")})
		}
		if slices.Contains(p.seen, fmt.Sprintf("settled %da", seq)) {
			settled++
		}
		p.pass(50 * millisecond)
	}
	if settled != requests || len(p.links) > most {
		t.Errorf("%d of %d were served over %d links, %d may be", settled, requests, len(p.links), most)
	}
}
