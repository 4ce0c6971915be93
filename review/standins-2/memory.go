package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase has bad clients send hundreds of requests at once, each with a body as long as an object may be, while
// usual clients are served. The platform kills a router whose memory is over its limit.
func memoryCase() {
	const (
		memoryMB       = 48 // the pages: 32 to 192
		sockets        = 1024
		badConnections = 330 // with the usual ones under a third of the descriptors
		atOnce         = 100 // requests that a bad client sends at once
		bodyBytes      = 240_000
	)
	answerBody := []byte("0123456789abcdef")
	var entries []string
	for i := range 4 {
		c := startCache(fmt.Sprintf("s-%d", i+1), func(f fetch) {
			time.AfterFunc(10*time.Millisecond, func() { served(f, answerBody) })
		})
		entries = append(entries, host(c.name, c.address(), "small-box", "active", 4, 0))
	}
	origin := startCache("o-1", func(f fetch) { served(f, answerBody) })
	entries = append(entries, host("o-1", origin.address(), "origin", "active", 60, 0))
	j := startJournal()
	j.publish(hosts(1, entries...))
	d := smallDeployment()
	d.memoryMB, d.sockets = memoryMB, sockets
	listen := freePort()
	router := startRouter("n1", listen, d.config("n1", listen, j.address(), j.known()), "")
	router.awaitHealthy(15 * time.Second)

	// The platform: anonymous and shared memory count, the program's own file does not.
	var peak atomic.Int64
	var killed atomic.Bool
	go func() {
		for router.running() {
			used := router.statusKB("RssAnon") + router.statusKB("RssShmem")
			if int64(used) > peak.Load() {
				peak.Store(int64(used))
			}
			if used > memoryMB<<10 && killed.CompareAndSwap(false, true) {
				say("the platform: the router has %d KB, its limit is %d KB", used, memoryMB<<10)
				router.signal(syscall.SIGKILL)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()

	stop := load(listen, 40, 40)
	time.Sleep(2 * time.Second)
	say("peak with the usual clients alone: %d KB", peak.Load())
	if trouble {
		say("%d bad clients send %d requests at once, each with a body of %d bytes", badConnections, atOnce, bodyBytes)
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		var bad sync.WaitGroup
		var answered, refused, sent atomic.Int64
		for range badConnections {
			bad.Go(func() {
				c, err := dialClient(listen)
				if err != nil {
					return
				}
				defer c.Close()
				var open sync.WaitGroup
				for range atOnce {
					object := fmt.Sprintf("%016x", rand.Uint64())
					_, got, err := c.call(request("stills", object, 0, 7, 2500*time.Millisecond), body)
					if err != nil {
						break
					}
					sent.Add(1)
					open.Go(func() {
						if a, ok := <-got; ok {
							answered.Add(1)
							if a.kind == "refused" {
								refused.Add(1)
							}
						}
					})
				}
				open.Wait()
			})
		}
		done := make(chan bool)
		go func() { bad.Wait(); close(done) }()
		select {
		case <-done:
		case <-router.ended:
		case <-time.After(60 * time.Second):
		}
		say("bad clients: %d requests sent, %d answered, %d of them refused", sent.Load(), answered.Load(), refused.Load())
	} else {
		time.Sleep(10 * time.Second)
	}
	time.Sleep(time.Second)
	say("usual clients: %s", stop())
	say("peak: %d KB of %d KB", peak.Load(), memoryMB<<10)
	switch {
	case killed.Load():
		broken("the router is over its memory limit of %d MB and is killed (%d KB)", memoryMB, peak.Load())
	case !router.running():
		broken("the router has ended")
	}
	held("the router stays within its memory: %d KB of %d KB at most", peak.Load(), memoryMB<<10)
}
