package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowdCase }

// crowdCase has idle clients fill the descriptors. Each rests until the router ends its connection, closes it a moment
// later, and comes again.
func crowdCase() {
	const (
		sockets = 256 // the pages: 256 to 1,024
		idle    = 400
		closing = 300 * time.Millisecond // from the end that a client sees to its own close
	)
	body := []byte("0123456789abcdef")
	var entries []string
	for i := range 4 {
		c := startCache(fmt.Sprintf("s-%d", i+1), func(f fetch) {
			time.AfterFunc(10*time.Millisecond, func() { served(f, body) })
		})
		entries = append(entries, host(c.name, c.address(), "small-box", "active", 4, 0))
	}
	origin := startCache("o-1", func(f fetch) { served(f, body) })
	entries = append(entries, host("o-1", origin.address(), "origin", "active", 60, 0))
	j := startJournal()
	j.publish(hosts(1, entries...))
	d := smallDeployment()
	d.sockets = sockets
	listen := freePort()
	router := startRouter("n1", listen, d.config("n1", listen, j.address(), j.known()), "")
	router.awaitHealthy(15 * time.Second)
	stop := load(listen, 40, 40)
	time.Sleep(time.Second)

	ending := make(chan bool)
	var over, samples, peak atomic.Int64
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-ending:
				return
			case <-time.After(10 * time.Millisecond):
			}
			held := int64(router.descriptors())
			samples.Add(1)
			if held > sockets {
				over.Add(1)
			}
			if held > peak.Load() {
				peak.Store(held)
				say("the router holds %d descriptors", held)
			}
		}
	})
	var clients sync.WaitGroup
	var came atomic.Int64
	if trouble {
		say("%d idle clients come", idle)
		for range idle {
			clients.Go(func() {
				for {
					select {
					case <-ending:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					came.Add(1)
					_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
					_, _ = io.Copy(io.Discard, conn) // until the router ends the connection
					time.Sleep(closing)
					_ = conn.Close()
				}
			})
		}
	}
	time.Sleep(12 * time.Second)
	close(ending)
	watch.Wait()
	say("usual clients: %s", stop())
	say("connections of idle clients: %d", came.Load())
	say("descriptors: %d at most, over %d in %d of %d samples", peak.Load(), sockets, over.Load(), samples.Load())
	if !router.running() {
		broken("the router has ended")
	}
	if over.Load() > 0 {
		broken("the router holds %d descriptors of %d allowed (over in %d of %d samples)", peak.Load(), sockets, over.Load(), samples.Load())
	}
	held("the router holds %d descriptors of %d allowed at most", peak.Load(), sockets)
}
