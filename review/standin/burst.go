package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	usualClients  = 150                     // clients that always ask
	usualInterval = 500 * time.Millisecond  // time between two requests of such a client, for parts in turn
	partTime      = 300 * time.Millisecond  // time in which a cache answers a part
	stillTime     = 60 * time.Millisecond   // time in which a cache answers the others
	burstClients  = 190                     // further clients during the burst
	burstInterval = 1270 * time.Millisecond // time between two requests of such a client
	burstLength   = 8 * time.Second
	usualLimit    = 2500 * time.Millisecond // half of the hard stop of the class, after which a try may be given up
	burstLimit    = 1250 * time.Millisecond // the same
)

// askCounts are the requests of all clients of one kind.
type askCounts struct{ asked, answered, lost atomic.Int64 }

// ask sends a request and waits for its answer, until half a second after its time.
func ask(log *record, c *client, name, class string, limit time.Duration, counts *askCounts) error {
	asked := request{class: class, id: newID(), object: object(int(c.seq) * 7 % 500), limit: limit}
	bytes, seq := c.call(asked)
	sentAt := time.Now()
	if _, err := c.conn.Write(bytes); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	counts.asked.Add(1)
	c.conn.SetReadDeadline(sentAt.Add(limit + later + slack))
	got, err := c.answer()
	took := time.Since(sentAt)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && took < slack {
		log.line("%s: %d crossed the end of its connection", name, seq) // it would be sent again on a new one
		return err
	}
	if err != nil {
		counts.lost.Add(1)
		log.line("%s: %d of limit %v is lost: after %v %v", name, seq, limit, took, err)
		return err
	}
	counts.answered.Add(1)
	log.line("%s: %d of limit %v is answered after %v: %s", name, seq, limit, took, got.said)
	return nil
}

// burst: the traffic of a router grows by half for some seconds, with no fault anywhere.
func burst(log *record, folder string, trouble bool) (broken bool, err error) {
	w, err := newWorld(log, 4)
	if err != nil {
		return false, err
	}
	for _, cache := range w.caches {
		cache.delay = func(class, _ string) time.Duration {
			if class == "stills" {
				return stillTime
			}
			return partTime
		}
	}
	d := &deployment{
		folder: folder, settings: small(1), known: w.journal.known(), journal: w.journal.addr, memoryMB: 32,
	}
	router, err := d.start("n0")
	if err != nil {
		return false, err
	}
	var usual, more askCounts
	var clients sync.WaitGroup
	var failed atomic.Pointer[error]
	begin := time.Now()
	run := func(name, class string, delay, length, limit, interval time.Duration, counts *askCounts) {
		until := begin.Add(delay + length)
		clients.Go(func() {
			time.Sleep(delay)
			c, err := dialClient(router.address)
			if err != nil {
				failed.Store(&err)
				return
			}
			defer c.conn.Close()
			for time.Now().Before(until) {
				asked := time.Now()
				if ask(log, c, name, class, limit, counts) != nil {
					return
				}
				time.Sleep(time.Until(asked.Add(interval)))
			}
		})
	}
	for n := range usualClients {
		run(fmt.Sprintf("usual client %d", n), "video-parts", time.Duration(n)*7*time.Millisecond, 14*time.Second,
			usualLimit, usualInterval, &usual)
	}
	if trouble {
		for n := range burstClients {
			run(fmt.Sprintf("client %d of the burst", n), "stills", 4*time.Second+time.Duration(n)*5*time.Millisecond, burstLength,
				burstLimit, burstInterval, &more)
		}
	}
	clients.Wait()
	if err := failed.Load(); err != nil {
		return false, *err
	}
	log.say("usual clients: %d requests, %d answered, %d lost", usual.asked.Load(), usual.answered.Load(), usual.lost.Load())
	log.say("clients of the burst: %d requests, %d answered, %d lost", more.asked.Load(), more.answered.Load(), more.lost.Load())
	return usual.lost.Load()+more.lost.Load() > 0, nil
}
