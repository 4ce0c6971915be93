package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/logevent"
)

const (
	second = int64(1e9)
	start  = 1000 * second
	object = "7f3a9c21e0b4d655"
)

var fleet = []EndpointEntry{
	{"s-a", "10.0.0.1:1", control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}},
	{"s-b", "10.0.0.2:1", control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}},
	{"p-a", "10.0.0.3:1", control.Endpoint{Location: "hub", Kind: "parent", Phase: "ready", Capacity: 20}},
	{"o-a", "10.0.0.4:1", control.Endpoint{Location: "hub", Kind: "origin", Phase: "ready", Capacity: 20}},
}

// play is a reducer that is given events in turn; it answers as the connections would.
type play struct {
	*Router
	t     *testing.T
	now   int64
	seen  []string       // effects, shortly
	logged []logevent.Event
	links []ConnectionID // in the order of their dialling
	sends []Send
	asked []WithdrawAttempt // of the links' writers
}

// testSettings are a location with caches, and a hub with parents and the origin.
func testSettings() control.Settings {
	parent, origin := "parent", "origin"
	settings := control.DefaultSettings()
	settings.Location = "here"
	settings.Routers = 2
	settings.LocationRouters = 2
	settings.ParentKind, settings.OriginKind = &parent, &origin
	settings.MaxAttempts = 6
	settings.Hedging = true
	settings.CancelAttempts = true
	settings.RetryAfter = true
	settings.MaxRetryAfter = second / 2
	settings.ConnectTimeout = 4 * second / 10
	settings.IdleTimeout = 30 * second
	settings.MaxStreamsPerConnection = 100
	settings.AnswerGrace = 8 * millisecond
	settings.PurgeDuration = 6 * second
	settings.LongestDeadline = 25 * second / 10
	settings.Classes = []control.ClassSettings{{
		Name:             "stills",
		LatencyObjective: 4 * second / 10,
		FreshDuration:    8 * second,
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	return settings
}

// permits is a class whose requests must not run twice.
func permits() control.ClassSettings {
	return control.ClassSettings{
		Name:             "permits",
		LatencyObjective: 4 * second / 10,
		PriorityWeight:   1,
		Idempotency:      control.NonIdempotent,
		KeyScope:         control.ScopeAll,
	}
}

func newPlay(t *testing.T, change func(*Limits, *control.Settings)) *play {
	t.Helper()
	set := testSettings()
	limits := Limits{MaxConnections: 8, MaxInFlight: 100, MaxBodyBytes: 1 << 20}
	if change != nil {
		change(&limits, &set)
	}
	r := New(start, 7, set, limits)
	p := &play{Router: r, t: t, now: start}
	p.take(EndpointListUpdated{Complete: true, Entries: slices.Clone(fleet)})
	p.seen = nil
	return p
}

// take hands an event in and notes the effects.
func (p *play) take(e Event) {
	for _, effect := range p.Handle(p.now, e) {
		switch e := effect.(type) {
		case Respond:
			word := []string{"settled", "dismissed", "aborted", "unusable"}[e.Kind]
			if e.NotModified {
				word += " same"
			}
			p.seen = append(p.seen, fmt.Sprintf("%s %d%s", word, e.Seq, e.Body))
		case Dial:
			p.links = append(p.links, e.Connection)
			p.seen = append(p.seen, "dial "+e.Address)
		case Send:
			p.sends = append(p.sends, e)
			p.seen = append(p.seen, "send "+e.Request.ID)
		case CancelAttempt:
			p.seen = append(p.seen, "abort "+e.ID)
		case WithdrawAttempt:
			p.asked = append(p.asked, e)
		case Log:
			p.logged = append(p.logged, e.Event)
		case Close:
			p.seen = append(p.seen, fmt.Sprintf("close %d", e.Connection))
		}
	}
}

// pass lets time go by, in the steps of the timer that the reducer asked for.
func (p *play) pass(ns int64) {
	for end := p.now + ns; p.now < end; {
		p.now = min(end, max(p.timerSetFor, p.now+millisecond))
		p.take(TimerFired{})
	}
}

func (p *play) ask(seq int32, change map[string]string) {
	fields := map[string]string{"verb": "stills", "txn": fmt.Sprintf("%016x", seq), "limit": "2500",
		"item": object, "nth": "0", "batch": "17"}
	for name, value := range change {
		fields[name] = value
	}
	p.take(RequestReceived{Client: 1, Seq: seq, Fields: fields, Body: []byte("q")})
}

func (p *play) answer(a ResponseReceived) {
	last := p.sends[len(p.sends)-1]
	a.Connection, a.ID = last.Connection, last.Request.ID
	p.take(a)
}

// up lets the newest link come up.
func (p *play) up() { p.take(ConnectionUp{Connection: p.links[len(p.links)-1]}) }

// list tells of a change to the first cache that was dialled.
func (p *play) list(change func(*EndpointEntry)) {
	address := p.Router.connections[p.links[0]].address
	line := fleet[slices.IndexFunc(fleet, func(l EndpointEntry) bool { return l.Address == address })]
	change(&line)
	p.take(EndpointListUpdated{Entries: []EndpointEntry{line}})
}

func TestRetrieval(t *testing.T) {
	good := ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")}
	cases := []struct {
		name string
		do   func(*play)
		want string // all effects; dials without their address
	}{
		{"an answer goes on as it came", func(p *play) { p.ask(1, nil); p.up(); p.answer(good) },
			"dial, send 1, settled 1:bytes"},
		{"a second answer is ignored", func(p *play) { p.ask(1, nil); p.up(); p.answer(good); p.answer(good) },
			"dial, send 1, settled 1:bytes"},
		{"the client's copy holds", func(p *play) {
			p.ask(1, map[string]string{"got": "4be0c1927d55a6f3"})
			p.up()
			p.answer(ResponseReceived{Result: control.Succeeded, NotModified: true})
		}, "dial, send 1, settled same 1"},
		{"no copy was named that could hold", func(p *play) {
			p.ask(1, map[string]string{"got": "a,b=c"})
			p.up()
			p.answer(ResponseReceived{Result: control.Succeeded, NotModified: true})
		}, "dial, send 1, send 1"},
		{"a second one for the same member shares the link", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.ask(2, map[string]string{"nth": "0"})
		}, "dial, send 1, send 2"},
		{"refused: nothing ran, and it goes elsewhere", func(p *play) {
			p.ask(1, nil)
			p.take(ConnectionDown{Connection: p.links[0]})
			p.up()
		}, "dial, dial, send 1"},
		{"broken before it was wholly written: elsewhere", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(ConnectionDown{Connection: p.links[0], Unsent: []string{fmt.Sprintf("%016x", 1)}})
		}, "dial, send 1, dial"},
		{"silence to the end of the client's time: aborted on the link, dismissed in time, answered once", func(p *play) {
			p.ask(1, map[string]string{"limit": "300"})
			p.up()
			p.pass(279 * millisecond)
			p.seen = append(p.seen, "279 ms")
			p.pass(2 * millisecond)
			p.pass(2 * second)
		}, "dial, send 1, 279 ms, abort 1, dismissed 1"},
		{"no link comes up: dismissed before half its time, not at the end of it", func(p *play) {
			p.ask(1, map[string]string{"limit": "600"})
			p.pass(289 * millisecond)
			p.seen = append(p.seen, "289 ms")
			p.pass(2 * millisecond)
		}, "dial, 289 ms, dismissed 1"},
		{"once written it has all its time", func(p *play) {
			p.ask(1, map[string]string{"limit": "600"})
			p.pass(250 * millisecond)
			p.up()
			p.pass(250 * millisecond)
			p.answer(good)
		}, "dial, send 1, settled 1:bytes"},
		{"an answer that comes too late is ignored", func(p *play) {
			p.ask(1, map[string]string{"limit": "300"})
			p.up()
			p.pass(2 * second)
			p.answer(good)
		}, "dial, send 1, abort 1, dismissed 1"},
		{"the client leaves: no answer", func(p *play) { p.ask(1, nil); p.up(); p.take(ClientDisconnected{Client: 1}); p.answer(good) },
			"dial, send 1, abort 1"},
		{"the client cancels one of two", func(p *play) {
			p.ask(1, nil)
			p.ask(2, nil)
			p.up()
			p.take(RequestCancelled{Client: 1, Seq: 1})
			p.answer(good)
		}, "dial, send 1, send 2, abort 1, settled 2:bytes"},
		{"cancelled before the link is up: nothing is sent", func(p *play) {
			p.ask(1, nil)
			p.take(RequestCancelled{Client: 1, Seq: 1})
			p.up()
		}, "dial"},
		{"a cancel for nothing", func(p *play) { p.take(RequestCancelled{Client: 9, Seq: 1}) }, ""},
		{"a sequence number in use", func(p *play) { p.ask(1, nil); p.ask(1, nil); p.up(); p.answer(good) },
			"dial, unusable 1, send 1, settled 1:bytes"},
		{"an unknown product", func(p *play) { p.ask(1, map[string]string{"verb": "odd"}) }, "unusable 1"},
		{"an answer that cannot be used goes for an error", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.answer(ResponseReceived{Result: control.ServerError})
		}, "dial, send 1, send 1"},
		{"what waits for its link when a purge comes is sent with the new age", func(p *play) {
			p.ask(1, nil)
			p.now += 200 * millisecond
			p.take(PurgeReceived{Object: object, PurgedAt: p.now - 50*millisecond})
			p.up()
			if age := p.sends[0].Request.Attempt.MaxAge; age >= 50*millisecond {
				p.t.Errorf("age %d", age)
			}
		}, "dial, dial, send 1"},
		{"what waits for its link when its cache drains goes elsewhere", func(p *play) {
			p.ask(1, nil)
			p.list(func(l *EndpointEntry) { l.Phase = "draining" })
			p.up()
		}, "dial, dial, send 1"},
		{"a cache that started anew is dialled anew", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.answer(good)
			p.list(func(l *EndpointEntry) { l.StartedAt = p.now })
			p.ask(2, nil)
		}, "dial, send 1, settled 1:bytes, close 1, dial"},
		{"a cache at another's address is its own", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.answer(good)
			p.list(func(l *EndpointEntry) { l.Phase = "gone" })
			p.list2("s-new")
			if got := p.endpoints["s-new"]; len(got.connections) != 0 {
				p.t.Error("it has a link of the one before")
			}
		}, "dial, send 1, settled 1:bytes, close 1"},
		{"an idle link is closed before the other side closes it", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.answer(good)
			p.pass(16 * second)
		}, "dial, send 1, settled 1:bytes, close 1"},
		{"a link that is quiet for longer than a dial may take gets company", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.pass(300 * millisecond)
			p.ask(2, nil)
			p.pass(150 * millisecond)
			p.ask(3, nil)
		}, "dial, send 1, send 2, dial"},
		{"an id in use, and one given up before: answers could be mixed up", func(p *play) {
			first := map[string]string{"txn": fmt.Sprintf("%016x", 1)}
			p.ask(1, nil)
			p.up()
			p.ask(2, first)
			p.take(RequestCancelled{Client: 1, Seq: 1})
			p.ask(3, first)
		}, "dial, send 1, unusable 2, abort 1, dial"},
		{"a time longer than the product's is cut to that", func(p *play) {
			p.ask(1, map[string]string{"limit": "99999999"})
			if at := p.clients[1][1].Deadline; at != p.now+25*second/10 {
				p.t.Errorf("hard stop in %d", at-p.now)
			}
		}, "dial"},
		{"a size that is told, and one that cannot be", func(p *play) {
			p.ask(1, map[string]string{"ram": "194.179"})
			p.ask(2, map[string]string{"ram": "NaN"})
			if a, b := p.clients[1][1].SizeKB, p.clients[1][2].SizeKB; a != 194.179 || b != 0 {
				p.t.Errorf("sizes %v and %v", a, b)
			}
		}, "dial"},
		{"whose address another one has got is gone", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.answer(good)
			address := p.Router.connections[p.links[0]].address
			p.take(EndpointListUpdated{Entries: []EndpointEntry{{"s-new", address, control.Endpoint{Location: "here", Kind: "cache",
				Phase: "ready", Capacity: 5, StartedAt: p.now}}}})
		}, "dial, send 1, settled 1:bytes, close 1"},
		{"leaving cuts the time of all in hand and of all that come", func(p *play) {
			p.ask(1, nil)
			p.up()
			p.take(ShutdownStarted{AnswerDeadline: p.now + 300*millisecond})
			p.ask(2, nil)
			p.pass(301 * millisecond)
		}, "dial, send 1, send 2, abort 2, dismissed 2, abort 1, dismissed 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, nil)
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

// list2 lists a new cache at the first one's address.
func (p *play) list2(name string) {
	line := fleet[0]
	line.Instance = name
	p.take(EndpointListUpdated{Entries: []EndpointEntry{line}})
}

func TestUnusableRequests(t *testing.T) {
	for _, c := range []struct{ field, value string }{{"verb", ""}, {"txn", "12"}, {"txn", "9b1f03aa5c7e2dxx"},
		{"limit", ""}, {"limit", "-5"}, {"limit", "soon"}, {"item", object + "0"}, {"item", "a=b,c=d,e=f,g=h,"},
		{"nth", "-1"}, {"nth", "x"}, {"nth", "+3"}, {"batch", "256"}, {"batch", ""}} {
		t.Run(c.field+"="+c.value, func(t *testing.T) {
			p := newPlay(t, nil)
			p.ask(4, map[string]string{c.field: c.value})
			if got := strings.Join(p.seen, ", "); got != "unusable 4" || p.InFlight() != 0 {
				t.Errorf("effects %s, %d in hand", got, p.InFlight())
			}
		})
	}
}

func TestLimits(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Limits, *control.Settings)
	}{
		{"retrievals in hand", func(l *Limits, _ *control.Settings) { l.MaxInFlight = 1 }},
		{"bytes", func(l *Limits, _ *control.Settings) { l.MaxBodyBytes = 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, c.change)
			p.ask(1, nil)
			p.ask(2, nil)
			p.take(ClientDisconnected{Client: 1})
			p.ask(3, nil)
			if p.seen[1] != "dismissed 2" || p.InFlight() != 1 {
				t.Errorf("effects %v, %d in hand", p.seen, p.InFlight())
			}
		})
	}
	t.Run("links", func(t *testing.T) {
		p := newPlay(t, func(l *Limits, _ *control.Settings) { l.MaxConnections = 0 })
		p.ask(1, nil)
		p.pass(second)
		if len(p.links) > 0 || p.seen[len(p.seen)-1] != "dismissed 1" {
			t.Errorf("effects %v", p.seen)
		}
	})
	t.Run("streams", func(t *testing.T) {
		p := newPlay(t, func(_ *Limits, s *control.Settings) { s.MaxStreamsPerConnection = 2 })
		for seq := range int32(3) {
			p.ask(seq, nil)
		}
		if len(p.links) != 2 {
			t.Errorf("%d links for 3 at 2 a link", len(p.links))
		}
	})
	t.Run("what is open is spread over links: one spoilt answer takes its link's with it", func(t *testing.T) {
		p := newPlay(t, nil)
		for seq := range int32(12) {
			p.ask(seq, map[string]string{"item": object})
			p.up()
		}
		for id, connection := range p.Router.connections {
			if len(connection.inFlight) > shareThreshold+1 { // the one for which the next link is dialled goes on the one that is up
				t.Errorf("%d open on link %d of %d", len(connection.inFlight), id, len(p.links))
			}
		}
		if len(p.links) < 2 || p.InFlight() < 2*shareThreshold-1 {
			t.Errorf("%d links for %d in hand", len(p.links), p.InFlight())
		}
	})
	t.Run("links to one member", func(t *testing.T) {
		p := newPlay(t, nil)
		for seq := range int32(8) {
			p.ask(seq, map[string]string{"txn": object})
			for _, id := range p.links {
				p.take(ConnectionUp{Connection: id})
			}
			p.take(RequestCancelled{Client: 1, Seq: seq})
		}
		for _, endpoint := range p.endpoints {
			if len(endpoint.connections) > maxConnectionsPerEndpoint {
				t.Errorf("%d links to %s", len(endpoint.connections), endpoint.Instance)
			}
		}
	})
	t.Run("ids that were given up", func(t *testing.T) {
		p := newPlay(t, nil)
		for seq := range int32(50) {
			p.ask(seq, nil)
			p.up()
			p.take(RequestCancelled{Client: 1, Seq: seq})
		}
		connection := p.Router.connections[1]
		before := len(connection.abandonedAt)
		for range 8 {
			p.pass(second)
			p.ask(99, nil)
			p.answer(ResponseReceived{Result: control.Succeeded})
		}
		if before == 0 || len(connection.abandonedAt) > 0 {
			t.Errorf("%d, then %d", before, len(connection.abandonedAt))
		}
	})
}

// One connection that broke is one failure of its member, however much was open on it.
func TestBrokenLink(t *testing.T) {
	for _, c := range []struct {
		name   string
		unsent bool
	}{{"with all written", false}, {"with nothing written", true}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, func(_ *Limits, s *control.Settings) { s.MaxAttempts = 1 })
			for seq := range int32(20) {
				p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", seq)})
			}
			for _, id := range p.links {
				p.take(ConnectionUp{Connection: id})
			}
			connection, unsent := p.endpoints["s-a"].connections[0], []string(nil)
			if c.unsent {
				unsent = sortedKeys(connection.inFlight)
			}
			if len(connection.inFlight) < 3 {
				t.Fatalf("%d open", len(connection.inFlight))
			}
			p.take(ConnectionDown{Connection: connection.id, Unsent: unsent})
			p.pass(second / 10)
			if len(p.logged) > 0 {
				t.Errorf("log %v", p.logged)
			}
		})
	}
}

// Through a long day members, addresses, clients, ids and objects change without end.
func TestNothingIsKeptOfWhatHasGone(t *testing.T) {
	p := newPlay(t, nil)
	var most [8]int
	for n := range 6000 {
		line := fleet[0]
		line.Instance, line.Address = fmt.Sprint("s-", n), fmt.Sprint("10.0.1.", n%7, ":1") // addresses come again
		line.StartedAt = p.now
		gone := line
		gone.Instance, gone.Phase = fmt.Sprint("s-", n-3), "gone"
		p.take(EndpointListUpdated{Entries: []EndpointEntry{line, gone}})
		client := ClientID(n + 2)
		for seq := range int32(3) {
			p.take(RequestReceived{Client: client, Seq: seq, Fields: map[string]string{"verb": "stills", "limit": "2500",
				"txn": fmt.Sprintf("%016x", 3*n+int(seq)), "item": fmt.Sprintf("%016x", n), "nth": "0", "batch": "1"}})
		}
		for _, id := range p.links {
			p.take(ConnectionUp{Connection: id})
		}
		if len(p.sends) > 0 && n%3 == 0 {
			p.answer(ResponseReceived{Result: control.Succeeded})
		}
		if n%10 == 0 && len(p.links) > 0 {
			p.take(ConnectionDown{Connection: p.links[len(p.links)-1]})
		}
		p.take(PurgeReceived{Object: fmt.Sprintf("%016x", n), PurgedAt: p.now})
		p.take(ClientDisconnected{Client: client})
		p.links, p.sends, p.seen = p.links[:0], p.sends[:0], p.seen[:0]
		p.pass(20 * millisecond)
		past := 0
		for _, connection := range p.Router.connections {
			past += len(connection.abandonedAt)
		}
		for i, size := range []int{len(p.endpoints), len(p.endpointsByID), len(p.Router.connections), len(p.clients), len(p.requestsByID), p.timers.Len(), past, p.bodyBytes} {
			most[i] = max(most[i], size)
		}
	}
	if bound := [8]int{10, 10, 8, 1, 3, 12, 900, 0}; slices.ContainsFunc([]int{0, 1, 2, 3, 4, 5, 6, 7},
		func(i int) bool { return most[i] > bound[i] }) {
		t.Errorf("members, numbers, links, clients, ids, due times, past ids and bytes at most %v, want %v", most, bound)
	}
}

// The length of an answer tells its size, where the configuration says how fast one is sent.
func TestLargeAnswersAreNotLate(t *testing.T) {
	for _, c := range []struct {
		name  string
		flow  float64
		blame bool
	}{{"at 10 bytes a second", 10, false}, {"at an unknown pace", 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, func(_ *Limits, s *control.Settings) {
				s.ResponseBytesPerSecond, s.Classes[0].ObjectiveStretch = c.flow, 0.1
			})
			for seq := range int32(40) {
				p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", seq)})
				for _, id := range p.links {
					p.take(ConnectionUp{Connection: id})
				}
				p.pass(second)
				for _, id := range p.links {
					p.take(ResponseReceived{Connection: id, ID: fmt.Sprintf("%016x", seq), Result: control.Succeeded, Body: make([]byte, 200)})
				}
			}
			if got := len(p.logged) > 0; got != c.blame {
				t.Errorf("somebody or something is late: %v, want %v: %v", got, c.blame, p.logged)
			}
		})
	}
}

// A link to a machine that vanished stays open and silent, also once the machine is back.
func TestSilentLinkIsNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard bool
		want  int // links to the cache
	}{{"silent since it was asked", false, 0}, {"slow with one answer only", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, nil)
			p.ask(1, map[string]string{"limit": "600"})
			p.up()
			if c.heard {
				p.now += millisecond
				p.ask(2, nil)
				p.now += millisecond
				p.answer(ResponseReceived{Result: control.Succeeded})
			}
			cache := p.Router.connections[p.links[0]].endpoint
			p.pass(second)
			if got := len(cache.connections); got != c.want {
				t.Errorf("%d links, want %d; effects %v", got, c.want, p.seen)
			}
		})
	}
}

// Ids are hashed over: they must agree at routers that learned of members in another order.
func TestNumbersAgree(t *testing.T) {
	const a, b = "s-07e5ff", "s-0a3e80" // the same hash
	cases := []struct {
		name   string
		events []Event
	}{
		{"all at once", []Event{EndpointListUpdated{Complete: true, Entries: []EndpointEntry{{Instance: a}, {Instance: b}, {Instance: "x"}}}}},
		{"one by one", []Event{EndpointListUpdated{Entries: []EndpointEntry{{Instance: "x"}}}, EndpointListUpdated{Entries: []EndpointEntry{{Instance: a}}},
			EndpointListUpdated{Entries: []EndpointEntry{{Instance: b}}}}},
		{"the other way round", []Event{EndpointListUpdated{Entries: []EndpointEntry{{Instance: b}}}, EndpointListUpdated{Entries: []EndpointEntry{{Instance: a}}},
			EndpointListUpdated{Entries: []EndpointEntry{{Instance: "x"}}}}},
	}
	var first []uint32
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(t, nil)
			for _, e := range c.events {
				p.take(e)
			}
			got := []uint32{p.endpoints[a].ID, p.endpoints[b].ID, p.endpoints["x"].ID}
			if first = slices.Clone(append(first, got...)[:3]); !slices.Equal(got, first) || got[0] == got[1] {
				t.Errorf("ids %v, elsewhere %v", got, first)
			}
		})
	}
}

// Timers go off a little early at times, and then nothing is due yet.
func TestTimerThatComesEarly(t *testing.T) {
	p := newPlay(t, nil)
	p.now = p.timerSetFor - 1
	set := false
	for _, e := range p.Handle(p.now, TimerFired{}) {
		_, timer := e.(SetTimer)
		set = set || timer
	}
	if !set {
		t.Error("the timer was not set again")
	}
}

func TestFaultOfThePeriodicWork(t *testing.T) {
	p := newPlay(t, nil)
	p.policy = nil
	p.pass(second)
	if p.timerSetFor < p.now+100*millisecond {
		t.Errorf("the timer is set for %d ms from now", (p.timerSetFor-p.now)/millisecond)
	}
}

func TestFaultOfOneEvent(t *testing.T) {
	p := newPlay(t, nil)
	p.ask(1, nil)
	p.up()
	p.Router.connections[p.links[0]].endpoint = nil // no event can bring this about
	p.take(ConnectionDown{Connection: p.links[0]})
	p.pass(3 * second)
	if last := p.seen[len(p.seen)-1]; !strings.HasSuffix(last, " 1") || p.InFlight() != 0 {
		t.Errorf("effects %v, %d in hand", p.seen, p.InFlight())
	}
}

// With a plan of links: no more than a router's share of a cache, the subset met ahead, and what can't be reached passed over
// in an object's ranking.
func TestPlannedLinks(t *testing.T) {
	plan := connpool.New(connpool.Config{Router: "n", Seed: 7, Routers: 3, MaxConnections: 3, MaxConnectRate: 30})
	p := newPlay(t, func(l *Limits, _ *control.Settings) { l.ConnectionPlan = plan })
	p.pass(second) // two caches are met ahead, the parent and the origin are not
	if n := len(p.links); n != 2 {
		t.Fatalf("%d links are dialled ahead: %v", n, p.seen)
	}
	for _, l := range p.links {
		p.take(ConnectionUp{Connection: l})
	}
	for seq := range int32(20) {
		p.ask(seq, map[string]string{"item": fmt.Sprintf("%016x", 77*seq)})
	}
	if len(p.links) != 2 || len(p.sends) == 0 {
		t.Errorf("%d links, %d sent", len(p.links), len(p.sends))
	}
	first := p.sends[0]
	for _, s := range p.sends {
		p.take(ResponseReceived{Connection: s.Connection, ID: s.Request.ID, Result: control.Succeeded, Note: 1})
	}
	p.take(ConnectionDown{Connection: first.Connection}) // its objects go to the other until a link may be opened again
	sent := len(p.sends)
	p.ask(100, map[string]string{"item": first.Request.Object})
	if len(p.sends) != sent+1 || p.sends[sent].Connection == first.Connection {
		t.Errorf("%d sent: %v", len(p.sends)-sent, p.seen)
	}
	if p.pass(second / 2); len(p.links) != 3 {
		t.Errorf("%d links: the one that was lost is not met again", len(p.links))
	}
}
