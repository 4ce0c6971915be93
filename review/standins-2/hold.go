package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hold"] = holdCase }

// holdCase kills a router that spreads its first calls of the journal service by an operator's file, and starts it
// again. Clients that come to it meanwhile keep their connections. Then a cache server drains.
func holdCase() {
	const (
		notice   = 7 * time.Second        // by then an event counts as told, whether or not it arrived
		grace    = 250 * time.Millisecond // rules.drain_grace_ms
		slack    = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
		down     = 1700 * time.Millisecond
		comingTo = 3 * time.Second // clients go on coming to a dead router for so long
	)
	body := []byte("0123456789abcdef")
	var mu sync.Mutex
	var drainedAt time.Time
	late, all := 0, map[string]int{}
	var entries []string
	caches := map[string]*cache{}
	for i := range 4 {
		name := fmt.Sprintf("s-%d", i+1)
		caches[name] = startCache(name, func(f fetch) {
			mu.Lock()
			all[name]++
			if name == "s-1" && !drainedAt.IsZero() && f.at.After(drainedAt.Add(notice+grace+slack)) {
				late++
				if late <= 20 {
					say("s-1 gets request %s, %.0f ms after it began to drain", f.id, f.at.Sub(drainedAt).Seconds()*1e3)
				}
			}
			mu.Unlock()
			time.AfterFunc(10*time.Millisecond, func() { served(f, body) })
		})
		entries = append(entries, host(name, caches[name].address(), "small-box", "active", 4, 0))
	}
	parent := startCache("p-1", func(f fetch) { served(f, body) })
	origin := startCache("o-1", func(f fetch) { served(f, body) })
	entries = append(entries, host("p-1", parent.address(), "parent", "active", 20, 0),
		host("o-1", origin.address(), "origin", "active", 60, 0))
	j := startJournal()
	j.publish(hosts(1, entries...))

	d := smallDeployment()
	d.routers = 3
	listen := freePort()
	operator := filepath.Join(temp, "operator.sx")
	// Three routers call once in 5 s together, and get their answers within 16 s.
	if err := os.WriteFile(operator, []byte("(start (rate 0.2) (hold 16s))\n"), 0o600); err != nil {
		cannotRun("%v", err)
	}
	more := "--operator " + operator
	router := startRouter("n1", listen, d.config("n1", listen, j.address(), j.known()), more)
	router.awaitHealthy(20 * time.Second)

	var diedAt time.Time
	mayCome := func() bool { // whether clients may open new connections to the router now
		mu.Lock()
		defer mu.Unlock()
		return diedAt.IsZero() || time.Since(diedAt) < comingTo
	}
	ending := make(chan bool)
	kinds := map[string]int{}
	var clients sync.WaitGroup
	for range 6 {
		clients.Go(func() { usualClient(listen, mayCome, ending, &mu, kinds) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		mu.Lock()
		diedAt = time.Now()
		mu.Unlock()
		router.signal(syscall.SIGKILL)
		<-router.ended
		time.Sleep(down)
		d.seed = "daa66d2c7ddf743f" // new with each start
		if err := os.WriteFile(router.config, []byte(d.config("n1", listen, j.address(), j.known())), 0o600); err != nil {
			cannotRun("%v", err)
		}
		router.start(more)
		time.Sleep(comingTo - down + 200*time.Millisecond)
		say("from now on no client comes to the router; those that are there stay")
	}
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	j.publish(hosts(2, host("s-1", caches["s-1"].address(), "small-box", "leaving", 4, 0)))
	say("s-1 is leaving; it counts as told %v later at the latest", notice)
	time.Sleep(notice + grace + slack + 8*time.Second)
	close(ending)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	say("requests: %v; fetches: %v", kinds, all)
	j.mu.Lock()
	for _, at := range j.calls {
		say("the router called the journal service at %.3f", at.Sub(begun).Seconds())
	}
	j.mu.Unlock()
	if !router.running() {
		broken("the router has ended")
	}
	if all["s-1"] == 0 || kinds["served"] == 0 {
		cannotRun("nothing was served")
	}
	if late > 0 {
		broken("%d requests to a draining cache server later than %v after the router counts as told", late, grace+slack)
	}
	held("nothing new to the draining cache server")
}

// usualClient asks for objects on one connection, which it keeps. It opens a new one only if it may.
func usualClient(address string, mayCome func() bool, ending chan bool, mu *sync.Mutex, kinds map[string]int) {
	var c *client
	for {
		select {
		case <-ending:
			return
		case <-time.After(80 * time.Millisecond):
		}
		if c == nil {
			if !mayCome() {
				continue
			}
			var err error
			if c, err = dialClient(address); err != nil {
				c = nil
				continue
			}
		}
		object := fmt.Sprintf("%016x", 0xabc0000+rand.IntN(40))
		_, got, err := c.call(request("stills", object, 0, 7, 2500*time.Millisecond), nil)
		kind := "unanswered"
		if err == nil {
			select {
			case answered, ok := <-got:
				kind = answered.kind
				if !ok {
					err = errUnreadable
				}
			case <-time.After(3 * time.Second):
			}
		}
		if err != nil {
			kind = "connection ended"
			_ = c.Close()
			c = nil
		}
		mu.Lock()
		kinds[kind]++
		mu.Unlock()
	}
}
