package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = reloadCase }

// store is what a cache server keeps: for each object the Unix millisecond at which the origin gave out its copy. It
// keeps what the pages allow: a copy is served if it is young enough for the request, else it is filled anew; older
// copies than a purge are dropped some seconds after the purge.
type store struct {
	mu       sync.Mutex
	copies   map[string]int64
	purgedAt int64 // Unix ms of the purge of all objects; 0: none
}

// copyFor returns the issue time of the copy with which a request is answered.
func (s *store) copyFor(f fetch, keepsFor time.Duration) (issued int64, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := stamp(time.Now())
	key := f.fields["path"] + "/" + f.fields["blk"]
	issued, have := s.copies[key]
	within, _ := strconv.ParseInt(f.fields["within"], 10, 64)
	dropped := s.purgedAt > 0 && issued < s.purgedAt && now > s.purgedAt+keepsFor.Milliseconds()
	if have && !dropped && (within == 0 || now-issued <= within) {
		return issued, "TCP_HIT"
	}
	s.copies[key] = now
	return now, "TCP_MISS_ROOT"
}

// reloadCase moves the journal service by a new configuration while two more routers are switched on. The router has
// an operator's file, which fits its first configuration. Then all objects of a group are purged.
func reloadCase() {
	const (
		afterSIGHUP = 4 * time.Second         // by then what the journal service has to tell counts as told
		grace       = 300 * time.Millisecond  // fam.purge_grace_ms
		slack       = 50 * time.Millisecond   // each time limit is 50 ms longer on sockets
		margin      = 50 * time.Millisecond   // from the client's sending to the router's
		keepsFor    = 5800 * time.Millisecond // fam.purge_done_s is 6: older copies are dropped by then
		group       = 7
	)
	kept := &store{copies: map[string]int64{}}
	old, next := startJournal(), startJournal()
	next.shared = old
	var entries []string
	for i := range 4 {
		c := startCache(fmt.Sprintf("s-%d", i+1), func(f fetch) {
			issued, detail := kept.copyFor(f, keepsFor)
			time.AfterFunc(10*time.Millisecond, func() {
				f.conn.answer(f.id, "served", fmt.Sprintf("entity=%016x,issued=%d,detail=%s,use=inflight:1;x1:0.1;x0:0.5",
					issued, issued, detail), fmt.Appendf(nil, "given out at %d", issued))
			})
		})
		entries = append(entries, host(c.name, c.address(), "small-box", "active", 4, 0))
	}
	parent := startCache("p-1", func(f fetch) { served(f, nil) })
	origin := startCache("o-1", func(f fetch) { served(f, nil) })
	entries = append(entries, host("p-1", parent.address(), "parent", "active", 20, 0),
		host("o-1", origin.address(), "origin", "active", 60, 0))
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

	// Clients: each asks for parts of a few objects, and notes of each answer when it was asked and what it is.
	type got struct {
		asked  time.Time
		kind   string
		issued int64
	}
	var mu sync.Mutex
	var answers []got
	ending := make(chan bool)
	var clients sync.WaitGroup
	for range 6 {
		clients.Go(func() {
			var c *client
			for {
				select {
				case <-ending:
					return
				case <-time.After(80 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = dialClient(listen); err != nil {
						c = nil
						continue
					}
				}
				asked := time.Now()
				object := fmt.Sprintf("%016x", 0xabc0000+rand.IntN(20))
				_, waiting, err := c.call(request("video-parts", object, 0, group, 2500*time.Millisecond), nil)
				if err != nil {
					_ = c.Close()
					c = nil
					continue
				}
				one := got{asked: asked, kind: "unanswered"}
				select {
				case answered, ok := <-waiting:
					one.kind = answered.kind
					if !ok {
						one.kind = "connection ended"
					}
					text, _ := strings.CutPrefix(string(answered.body), "given out at ")
					one.issued, _ = strconv.ParseInt(text, 10, 64)
				case <-time.After(3 * time.Second):
				}
				mu.Lock()
				answers = append(answers, one)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)

	told := time.Now() // with the purge on an open watch; later below
	if trouble {
		d.routers = 5 // two more are switched on
		if err := os.WriteFile(router.config, []byte(d.config("n1", listen, next.address(), old.known())), 0o600); err != nil {
			cannotRun("%v", err)
		}
		say("new configuration: journal %s in place of %s, balancers 5 in place of 3", next.address(), old.address())
		router.signal(syscall.SIGHUP)
		told = time.Now().Add(afterSIGHUP)
		old.retire(1500 * time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
	}
	purgedAt := stamp(time.Now())
	kept.mu.Lock()
	kept.purgedAt = purgedAt
	kept.mu.Unlock()
	old.publish(fmt.Sprintf(`{"pos":%%d,"expire":{"set":%d,"stamp":%d}}`, group, purgedAt))
	if !trouble {
		told = time.Now().Add(notifyOpenWatch)
	}
	say("group %d is purged at %d; it counts as told in %.1f s", group, purgedAt, time.Until(told).Seconds())
	time.Sleep(keepsFor + time.Second)
	close(ending)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	from := told.Add(grace + slack + margin)
	stale, fresh, kinds := 0, 0, map[string]int{}
	for _, one := range answers {
		kinds[one.kind]++
		if one.kind != "served" || one.asked.Before(from) {
			continue
		}
		if one.issued >= purgedAt {
			fresh++
			continue
		}
		stale++
		if stale <= 20 {
			say("asked %.0f ms after the purge counts as told: served with a copy that is %d ms older than the purge",
				one.asked.Sub(told).Seconds()*1e3, purgedAt-one.issued)
		}
	}
	say("answers: %v; asked after the grace: %d from before the purge, %d from after it", kinds, stale, fresh)
	for _, word := range []string{"config_re", "discovery_"} {
		for _, line := range router.logLines(word) {
			_, line, _ = strings.Cut(strings.ReplaceAll(line, temp, "FOLDER"), `"event":`)
			say("log: %.300s", line)
		}
	}
	switch {
	case !router.running():
		broken("the router has ended")
	case stale > 0:
		broken("%d answers from copies older than a purge, asked later than %v after the purge counts as told", stale, grace+slack+margin)
	case fresh == 0:
		cannotRun("nothing was served after the grace")
	}
	held("no answer from a copy older than the purge after the grace")
}

// notifyOpenWatch is how long an event on an open watch may take.
const notifyOpenWatch = 50 * time.Millisecond
