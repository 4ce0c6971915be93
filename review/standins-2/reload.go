package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["reload"] = reloadCase }

// reloadCase moves the journal service by a new configuration while two more routers are switched on. The router has
// an operator's file, which fits its first configuration. Then a cache server drains.
func reloadCase() {
	const (
		notice  = 7 * time.Second        // by then an event counts as told, whether or not it arrived
		grace   = 250 * time.Millisecond // rules.drain_grace_ms
		slack   = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
		objects = 40
	)
	var mu sync.Mutex
	var last, first time.Time // of the fetches at the draining cache server
	var drainedAt, toldAt time.Time
	late, all := 0, map[string]int{}
	body := []byte("0123456789abcdef")
	first = time.Time{}
	old, next := startJournal(), startJournal()
	next.shared = old
	var entries []string
	caches := map[string]*cache{}
	for i := range 4 {
		name := fmt.Sprintf("s-%d", i+1)
		c := startCache(name, func(f fetch) {
			mu.Lock()
			all[name]++
			if name == "s-1" && !drainedAt.IsZero() {
				last = f.at
				if f.at.After(toldAt.Add(grace + slack)) {
					late++
					if first.IsZero() {
						first = f.at
					}
					if late <= 20 {
						say("s-1 gets request %s, %.0f ms after it began to drain", f.id, f.at.Sub(drainedAt).Seconds()*1e3)
					}
				}
			}
			mu.Unlock()
			time.AfterFunc(10*time.Millisecond, func() { served(f, body) })
		})
		caches[name] = c
		entries = append(entries, host(name, c.address(), "small-box", "active", 4, 0))
	}
	origin := startCache("o-1", func(f fetch) { served(f, body) })
	parent := startCache("p-1", func(f fetch) { served(f, body) })
	entries = append(entries, host("p-1", parent.address(), "parent", "active", 20, 0), host("o-1", origin.address(), "origin", "active", 60, 0))
	old.publish(hosts(1, entries...))

	d := smallDeployment()
	d.routers = 3
	listen := freePort()
	operator := filepath.Join(temp, "operator.sx")
	// Three routers call once a second together and get their answers within 4 s.
	if err := os.WriteFile(operator, []byte("(start (rate 1) (hold 4s))\n"), 0o600); err != nil {
		cannotRun("%v", err)
	}
	router := startRouter("n1", listen, d.config("n1", listen, old.address(), old.known()), "--operator "+operator)
	router.awaitHealthy(15 * time.Second)
	stop := load(listen, objects, 40)
	time.Sleep(2 * time.Second)

	if trouble {
		d.routers = 5 // two more are switched on
		if err := os.WriteFile(router.config, []byte(d.config("n1", listen, next.address(), old.known())), 0o600); err != nil {
			cannotRun("%v", err)
		}
		say("new configuration: journal %s in place of %s, balancers 5 in place of 3", next.address(), old.address())
		router.signal(hangUp)
		old.retire(1500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
	}
	mu.Lock()
	drainedAt = time.Now()
	toldAt = drainedAt.Add(notice)
	mu.Unlock()
	number := old.publish(hosts(2, host("s-1", caches["s-1"].address(), "small-box", "leaving", 4, 0)))
	say("event %d: s-1 is leaving; it counts as told %v later at the latest", number, notice)
	time.Sleep(notice + grace + slack + 4*time.Second)
	sum := stop()
	mu.Lock()
	defer mu.Unlock()
	say("requests: %s; fetches: %v", sum, all)
	for _, word := range []string{"config_re", "discovery_"} {
		for _, line := range router.logLines(word) {
			say("log: %.400s", line)
		}
	}
	if !last.IsZero() {
		say("last fetch at s-1 %.0f ms after it began to drain", last.Sub(drainedAt).Seconds()*1e3)
	}
	if !router.running() {
		broken("the router has ended")
	}
	if late > 0 {
		broken("%d requests to a draining cache server later than %v after the router counts as told", late, grace+slack)
	}
	held("nothing new to the draining cache server")
}
