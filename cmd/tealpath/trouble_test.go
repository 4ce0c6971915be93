package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"tealpath/internal/emulator/discoveryserver"
	"testing"
	"time"
)

// Trouble that the platform's pages name and the users' bench does not play ("Beyond this bench"), over real connections to
// routers in processes of their own. docs/endings.md lists it.

// killedAfter is when the platform kills, beyond the longest time that a client may wait.
const killedAfter = 700 * time.Millisecond

// late is by how much an answer may be late on a machine that does other work.
const late = 250 * time.Millisecond

func newLists(t *testing.T) *discoveryserver.Service {
	t.Helper()
	service, err := discoveryserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service
}

// listed tells the service of the two caches, so that a router that asks behind event 1 of its configuration hears of nothing new.
func listed(p program) string {
	text := string(p.text("n0", "127.0.0.1:1"))
	from := strings.Index(text, `{"pos":1,"hosts"`)
	to := strings.Index(text, `]},"settings"`)
	return strings.Replace(text[from:to], `"pos":1`, `"pos":%d`, 1)
}

// drains is the event that a cache drains.
func drains(cache *scripted, name string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"instances":[{"instanceId":"%s","hostPort":"%s","zone":"here","machineType":"cache",`+
		`"lifecycle":"leaving","weight":4}]}}`, name, cache.Addr())
}

// Trouble that begins after a time in which nothing came: the router's own links have rested five times as long as they may.
func TestTroubleAfterALongQuietTime(t *testing.T) {
	const quiet, together = 1500 * time.Millisecond, 8 // as many as one cache has room for
	for _, c := range []struct {
		name   string
		begins func(s *scripted)
		served [2]int // of those that come together, at least: at first, and later
	}{
		{"a cache resets what comes", func(s *scripted) { s.resetAll(); s.behave(resets, 0) }, [2]int{8, 8}},
		{"a cache is gone", func(s *scripted) { discard(s); s.resetAll() }, [2]int{8, 8}},
		{"a cache hangs", func(s *scripted) { s.behave(hangs, 0) }, [2]int{0, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			service := newLists(t)
			caches, p := newPair(t, service.Address(), 1.2, `"connIdleS":30`, `"connIdleS":0.3`)
			service.Publish(listed(p))
			p.serving(t)
			client := dial(t, p.address)
			for n := range 20 {
				client.want(client.call(object(n), 1200), settled)
			}
			time.Sleep(quiet)
			c.begins(caches[0])
			for round := range 3 { // all at once, so that the router has much to judge by
				begun, open := time.Now(), map[int32]bool{}
				for n := range together {
					open[client.call(object(n), 1200)] = true
				}
				served := 0
				for len(open) > 0 {
					seq, body := client.next()
					if took := time.Since(begun); !open[seq] || took > 1200*time.Millisecond+late {
						t.Fatalf("round %d: answer %d %q after %v", round, seq, body, took)
					}
					delete(open, seq)
					if strings.Contains(body, settled) {
						served++
					}
				}
				if served < c.served[min(round, 1)] {
					t.Errorf("round %d: %d of 8 served", round, served)
				}
			}
		})
	}
}

// A cache is told to drain in the moment in which the router restarts: the router that ends and the one that starts, with a
// list from its configuration, both heed it within the grace, and every client is answered.
func TestRestartAndDrainTogether(t *testing.T) {
	t.Parallel()
	const grace = 250 * time.Millisecond
	service := newLists(t)
	caches, p := newPair(t, service.Address(), 1.2, `"graceToAnswerS"`, `"stopSendingWithinS":0.25,"graceToAnswerS"`)
	service.Publish(listed(p))
	before := p.serving(t)
	told := time.Now()
	before.signal(syscall.SIGTERM)
	service.Publish(drains(caches[0], "s-a"))
	// ask sends one request after the other on a connection of its own, until the router ends that.
	ask := func(from, many int) {
		client := dial(t, p.address)
		for n := from; n < from+many; n++ {
			e := exchange{object: object(n), sent: time.Now()}
			seq := client.call(e.object, 1200)
			got, body := client.next()
			if e.answered = got == seq; e.answered && !strings.Contains(body, settled) {
				t.Errorf("%s: %q", e.object, body)
			}
			wantNoneLost(t, caches, []exchange{e}, time.Now())
			if !e.answered {
				return
			}
		}
	}
	ask(0, 20) // the one that ends serves on new connections still
	before.endsBy(told, 1200*time.Millisecond+killedAfter)
	begun := time.Now()
	after := p.spawn(t)
	after.waitUntil("the next one serves", p.healthy)
	for time.Since(begun) < time.Second {
		ask(1000, 20)
	}
	for _, a := range caches[0].asked("") {
		if sent := a.at.Sub(told); sent > grace+50*time.Millisecond && a.at.Before(begun) {
			t.Errorf("asked %v after it was told to drain", sent)
		}
		if sent := a.at.Sub(begun); sent > grace+50*time.Millisecond {
			t.Errorf("asked %v after the next router began", sent)
		}
	}
	if len(caches[1].asked("")) < 20 {
		t.Error("the other cache was hardly asked")
	}
}

// Caches that reset or forget connections while nothing is on them: what comes next is served.
func TestIdleLinksThatCachesEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		ends func(s *scripted)
	}{
		{"reset", (*scripted).resetAll},
		{"forgotten, so that the next request resets them", func(s *scripted) { s.behave(forgets, 0) }},
		{"reset just after the request has left", func(s *scripted) {
			s.behave(forgets, 0)
			time.AfterFunc(time.Millisecond, s.resetAll)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			service := newLists(t)
			caches, p := newPair(t, service.Address(), 1.2)
			service.Publish(listed(p))
			router := p.serving(t)
			client := dial(t, p.address)
			for n := range 20 {
				client.want(client.call(object(n), 1200), settled)
			}
			router.waitUntil("links to both rest", func() bool { return caches[0].open() > 0 && caches[1].open() > 0 })
			for round := range 3 {
				for _, s := range caches {
					c.ends(s)
				}
				begun := time.Now()
				for n := range 5 {
					client.want(client.call(object(100*round+n), 1200), settled)
				}
				if took := time.Since(begun); took > 600*time.Millisecond {
					t.Errorf("five requests took %v", took)
				}
			}
		})
	}
}

// Retries and hedges that fail at once: one final answer, as soon as nothing is left to try, and no more attempts than the
// settings allow.
func TestRetriesThatFailAtOnce(t *testing.T) {
	const attemptsMost, limit = 6, 1200
	for _, c := range []struct {
		name  string
		first func(s *scripted)
		other func(s *scripted)
		by    time.Duration
	}{
		{"both caches reset", func(s *scripted) { s.behave(resets, 0) }, func(s *scripted) { s.behave(resets, 0) }, 400 * time.Millisecond},
		{"one resets, one refuses", func(s *scripted) { s.behave(resets, 0) }, func(s *scripted) { discard(s); s.resetAll() }, 700 * time.Millisecond},
		{
			"one hangs, and what goes beside it is reset", func(s *scripted) { s.behave(hangs, 0) }, func(s *scripted) { s.behave(resets, 0) },
			limit * time.Millisecond,
		},
		{"both refuse", func(s *scripted) { discard(s); s.resetAll() }, func(s *scripted) { discard(s); s.resetAll() }, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			service := newLists(t)
			caches, p := newPair(t, service.Address(), 1.2)
			service.Publish(listed(p))
			p.serving(t)
			client := dial(t, p.address)
			for n := range 10 {
				client.want(client.call(object(n), limit), settled)
			}
			c.first(caches[0])
			c.other(caches[1])
			for n := range 2 {
				name := object(500 + n)
				begun := time.Now()
				client.want(client.call(name, limit), dismissed)
				if took := time.Since(begun); took > c.by+late {
					t.Errorf("given up on after %v, not %v", took, c.by)
				}
				if tries := len(caches[0].asked(name)) + len(caches[1].asked(name)); tries > attemptsMost {
					t.Errorf("%d attempts", tries)
				}
			}
			if err := client.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
				t.Error(err)
			}
			if seq, body := client.next(); seq != -1 {
				t.Errorf("a second answer: %d %q", seq, body)
			}
		})
	}
}

// New configurations in quick succession, each with another discovery: what is in flight is answered, and the last one counts.
func TestNewConfigurationsInARow(t *testing.T) {
	t.Parallel()
	var services []*discoveryserver.Service
	for range 6 {
		services = append(services, newLists(t))
	}
	caches, p := newPair(t, services[0].Address(), 1.2, `"graceToAnswerS"`, `"stopSendingWithinS":0.25,"graceToAnswerS"`)
	for _, s := range services {
		s.Publish(listed(p))
	}
	router := p.serving(t)
	for _, s := range caches {
		s.behave(answers, 300*time.Millisecond)
	}
	client := dial(t, p.address)
	inFlight := client.call(object(1), 1200)
	router.waitUntil("it is in flight", func() bool {
		return len(caches[0].asked(object(1)))+len(caches[1].asked(object(1))) > 0
	})
	for _, s := range services[1:] {
		p.configure("n0", s.Address())
		router.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond) // signals that wait are told once only
	}
	client.want(inFlight, settled)
	last := services[len(services)-1]
	router.waitUntil("the last discovery is called", func() bool { return len(last.Calls()) > 0 })
	last.Publish(drains(caches[0], "s-a"))
	told := time.Now()
	for _, s := range caches {
		s.behave(answers, 0)
	}
	for n := 10; time.Since(told) < 600*time.Millisecond; n++ {
		client.want(client.call(object(n), 1200), settled)
	}
	for _, a := range caches[0].asked("") {
		if sent := a.at.Sub(told); sent > 300*time.Millisecond {
			t.Errorf("asked %v after the last discovery told that it drains", sent)
		}
	}
}

// exchange is one request of a client that goes on sending, and whether it was answered.
type exchange struct {
	object   string
	sent     time.Time
	answered bool
}

// keepsAsking sends a request each few milliseconds on one open connection from some time on until it ends, and tells
// what became of them and when it ended.
func keepsAsking(t *testing.T, address string, first int, every time.Duration, limit int) (exchanges []exchange, ended time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return nil, time.Now()
	}
	defer discard(conn)
	c := &client{t: t, conn: conn, in: bufio.NewReader(conn)}
	var mu sync.Mutex
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			seq, _ := c.next()
			mu.Lock()
			if seq < 0 {
				ended = time.Now()
				mu.Unlock()
				return
			}
			if exchanges[seq-1].answered {
				t.Errorf("%s answered twice", exchanges[seq-1].object)
			}
			exchanges[seq-1].answered = true
			mu.Unlock()
		}
	}()
	for n := first; ; n++ {
		select {
		case <-over:
			return exchanges, ended
		case <-time.After(every):
		}
		mu.Lock()
		exchanges = append(exchanges, exchange{object: object(n), sent: time.Now()})
		mu.Unlock()
		c.call(object(n), limit)
	}
}

// wantNoneLost checks that what was not answered crossed the end of its connection, and that no cache was asked for it.
func wantNoneLost(t *testing.T, caches [2]*scripted, exchanges []exchange, ended time.Time) {
	t.Helper()
	const crossing = 50 * time.Millisecond
	for _, e := range exchanges {
		if e.answered {
			continue
		}
		if before := ended.Sub(e.sent); before > crossing+late/2 {
			t.Errorf("%s was sent %v before its connection ended and not answered", e.object, before)
		}
		if n := len(caches[0].asked(e.object)) + len(caches[1].asked(e.object)); n > 0 {
			t.Errorf("%s was forwarded %d times and not answered", e.object, n)
		}
	}
}

// Requests that come on resting connections in the very moments in which a router that leaves shuts them.
func TestRequestsAcrossTheEndOfARestingConnection(t *testing.T) {
	t.Parallel()
	const clients = 60
	service := newLists(t)
	caches, p := newPair(t, service.Address(), 0.3)
	service.Publish(listed(p))
	router := p.serving(t)
	var rested []*client
	for n := range clients {
		c := dial(t, p.address)
		if n%2 == 0 { // the others have never asked
			seq := c.call(object(n), 300)
			if got, body := c.next(); got != seq {
				t.Fatalf("answer %d %q, want %d", got, body, seq)
			}
		}
		rested = append(rested, c)
	}
	for _, s := range caches {
		s.behave(answers, 30*time.Millisecond) // so that some are in flight in that moment
	}
	told := time.Now()
	router.signal(syscall.SIGTERM)
	var all sync.WaitGroup
	for n, c := range rested {
		all.Go(func() {
			time.Sleep(time.Until(told.Add(650*time.Millisecond + time.Duration(n)*5*time.Millisecond)))
			name := object(1000 + n)
			e := exchange{object: name, sent: time.Now()}
			seq := c.call(name, 300)
			got, _ := c.next()
			e.answered = got == seq
			wantNoneLost(t, caches, []exchange{e}, time.Now())
		})
	}
	all.Wait()
	router.endsBy(told, 300*time.Millisecond+killedAfter)
}

// Discovery that is slow, and has more routers to tell than it bears: those that know a list serve at once, those that know
// none say so until they have heard it, and all heed in the end what it tells.
func TestDiscoverySlowAndCrowded(t *testing.T) {
	t.Parallel()
	const routers = 6
	service := newLists(t)
	var programs []program
	var caches [2]*scripted
	for n := range routers {
		own, p := newPair(t, service.Address(), 1.2)
		if n == 0 {
			caches = own
			service.Publish(listed(p))
			service.SetBehavior(discoveryserver.Behavior{MaxCallRate: 8, BytesPerSecond: 3000})
		}
		if n%2 == 1 {
			text := string(p.text("n0", service.Address()))
			from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
			if err := os.WriteFile(p.file, []byte(text[:from]+`"known":null,`+text[to:]), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		programs = append(programs, p)
	}
	var children []*child
	for _, p := range programs {
		children = append(children, p.spawn(t))
	}
	for n, p := range programs {
		children[n].waitUntil(fmt.Sprintf("router %d serves", n), p.healthy)
		c := dial(t, p.address)
		c.want(c.call(object(n), 1200), settled)
	}
	children[0].waitUntil("all have called", func() bool { return len(service.Calls()) >= routers })
	service.Publish(drains(caches[0], "s-a"))
	for _, p := range programs[1:] {
		// Those without a list of their own have that of router 0. All must leave the cache that drains in the end.
		c := dial(t, p.address)
		children[0].waitUntil("the drain is heeded", func() bool {
			from := len(caches[0].asked(""))
			for n := range 8 {
				c.want(c.call(object(100+n), 1200), settled)
			}
			return len(caches[0].asked("")) == from
		})
	}
}

// Caches that hang from before the router is told to end until after: all is answered, by the clients' own deadlines, and the
// router is gone before it is killed. Clients come and go on asking all the time.
func TestShutdownWhileCachesHang(t *testing.T) {
	inFlight := func(deadline time.Duration) time.Duration { return deadline } // each request, all the time that it has
	shutdown(t, inFlight, func(caches [2]*scripted) {
		for _, s := range caches {
			s.behave(hangs, 0)
		}
	})
}

// SIGKILL at the longest deadline and 0.7 s after SIGTERM, while clients go on asking on open connections and answers take a while.
func TestKilledAtTheEndOfTheShutdown(t *testing.T) {
	inFlight := func(time.Duration) time.Duration { return 250 * time.Millisecond }
	shutdown(t, inFlight, func(caches [2]*scripted) {
		caches[0].behave(answers, 100*time.Millisecond)
		caches[1].behave(answers, 250*time.Millisecond)
	})
}

// A router on which nothing goes on any more looks in time whether it is to go: it looked each 100 ms, which is all that there
// is between its own end and the platform's SIGKILL. Routers are told at different phases of that; the median is taken, as the
// machine may do other work.
func TestQuietShutdownIsOverInTime(t *testing.T) {
	t.Parallel()
	const deadline, routers, phase = 300 * time.Millisecond, 7, 100 * time.Millisecond
	const over = deadline + killedAfter - phase*7/10 // it may go 0.2 s after the 0.7 s in which clients come
	var children []*child
	for range routers {
		service := newLists(t)
		_, p := newPair(t, service.Address(), deadline.Seconds(), `"onTimeS":0.4`, `"onTimeS":0.2`)
		service.Publish(listed(p))
		children = append(children, p.serving(t))
		dial(t, p.address) // rests, and ignores its end
	}
	machine := newPulse()
	var told []time.Time
	for _, c := range children {
		told = append(told, time.Now())
		c.signal(syscall.SIGTERM)
		time.Sleep(phase / routers)
	}
	var took []time.Duration
	for n, c := range children {
		<-c.ended
		took = append(took, c.at.Sub(told[n]))
	}
	slices.Sort(took)
	if median := took[routers/2]; median > over+machine.stop() {
		t.Errorf("ended after %v, killed after %v", took, deadline+killedAfter)
	}
}

// shutdown has a router end under clients that go on asking, with short deadlines and the longest ones.
func shutdown(t *testing.T, inFlight func(time.Duration) time.Duration, trouble func([2]*scripted)) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			const clients = 6
			service := newLists(t)
			caches, p := newPair(t, service.Address(), deadline.Seconds(), `"onTimeS":0.4`, `"onTimeS":0.2`)
			service.Publish(listed(p))
			router := p.serving(t)
			trouble(caches)
			every := inFlight(deadline) / 25 // under the 32 that a client may have open
			var all sync.WaitGroup
			var sent atomic.Int64
			for n := range clients {
				all.Go(func() {
					exchanges, ended := keepsAsking(t, p.address, (n+1)*100000, every, int(deadline.Milliseconds()))
					sent.Add(int64(len(exchanges)))
					wantNoneLost(t, caches, exchanges, ended)
				})
			}
			router.waitUntil("clients have asked", func() bool { return len(caches[0].asked(""))+len(caches[1].asked("")) > clients })
			told := time.Now()
			router.signal(syscall.SIGTERM)
			router.endsBy(told, deadline+killedAfter)
			all.Wait()
			if sent.Load() < 5*clients {
				t.Errorf("%d requests were sent", sent.Load())
			}
		})
	}
}
