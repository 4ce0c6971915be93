package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["outage"] = outageCase }

// outageCase has the journal service down for a minute. A cache server begins to drain shortly before it is back.
func outageCase() {
	const (
		outage  = 60 * time.Second
		before  = 6700 * time.Millisecond // the drain begins so long before the service is back
		notice  = 7 * time.Second         // by then an event counts as told, whether or not it arrived
		grace   = 250 * time.Millisecond  // rules.drain_grace_ms
		slack   = 50 * time.Millisecond   // each time limit is 50 ms longer on sockets
		routers = 4
	)
	body := []byte("0123456789abcdef")
	var mu sync.Mutex
	var drainedAt time.Time
	late, all := 0, map[string]int{}
	var last time.Time
	var entries []string
	caches := map[string]*cache{}
	for i := range 4 {
		name := fmt.Sprintf("s-%d", i+1)
		caches[name] = startCache(name, func(f fetch) {
			mu.Lock()
			all[name]++
			if name == "s-1" && !drainedAt.IsZero() {
				last = f.at
				if f.at.After(drainedAt.Add(notice + grace + slack)) {
					late++
					if late <= 20 {
						say("s-1 gets request %s, %.0f ms after it began to drain", f.id, f.at.Sub(drainedAt).Seconds()*1e3)
					}
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
	var processes []*routerProcess
	var stops []func() string
	for i := range routers {
		d := smallDeployment()
		d.routers = routers
		d.seed = newID()
		name, listen := fmt.Sprintf("n%d", i+1), freePort()
		say("router %s has the seed %s", name, d.seed)
		processes = append(processes, startRouter(name, listen, d.config(name, listen, j.address(), j.known()), ""))
	}
	for _, router := range processes {
		router.awaitHealthy(15 * time.Second)
		stops = append(stops, load(router.listen, 40, 40))
	}
	time.Sleep(3 * time.Second)
	if trouble {
		say("the journal service is down")
		j.end(0)
	}
	time.Sleep(outage - before)
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	j.publish(hosts(2, host("s-1", caches["s-1"].address(), "small-box", "leaving", 4, 0)))
	say("s-1 is leaving; it counts as told %v later at the latest", notice)
	time.Sleep(before)
	if trouble {
		j.listenAgain()
		say("the journal service is back")
	}
	time.Sleep(notice - before + 8*time.Second)
	for i, stop := range stops {
		say("requests at %s: %s", processes[i].name, stop())
	}
	mu.Lock()
	defer mu.Unlock()
	say("fetches: %v", all)
	j.mu.Lock()
	for _, at := range j.calls {
		say("a router was answered by the journal service at %.3f", at.Sub(begun).Seconds())
	}
	j.mu.Unlock()
	if !last.IsZero() {
		say("last fetch at s-1 %.0f ms after it began to drain", last.Sub(drainedAt).Seconds()*1e3)
	}
	for _, router := range processes {
		if !router.running() {
			broken("a router has ended")
		}
	}
	if all["s-1"] == 0 {
		cannotRun("s-1 was never asked")
	}
	if late > 0 {
		broken("%d requests to a draining cache server later than %v after the routers count as told", late, grace+slack)
	}
	held("nothing new to the draining cache server")
}
