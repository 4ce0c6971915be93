package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	slowLimit = 5 * time.Second         // how long the clients wait, the hard stop of the class
	writing   = 2600 * time.Millisecond // time from the first byte of a slow request to its last
	bodySize  = 200_000
	later     = 500 * time.Millisecond // an answer up to this long after its time only earns nothing
)

// slowWriter: clients write a large request slowly, on a connection on which another
// request is open.
func slowWriter(log *record, folder string, trouble bool) (broken bool, err error) {
	w, err := newWorld(log, 4)
	if err != nil {
		return false, err
	}
	large := object(7)
	for _, cache := range w.caches {
		cache.delay = func(_, asked string) time.Duration {
			if asked == large {
				return 3500 * time.Millisecond // a large object, sent slowly, and in time for its client
			}
			return 2 * time.Millisecond
		}
	}
	d := &deployment{folder: folder, settings: small(1), known: w.journal.known(), journal: w.journal.addr}
	router, err := d.start("n0")
	if err != nil {
		return false, err
	}
	const clients = 5
	type result struct {
		lost bool
		err  error
	}
	results := make(chan result, clients)
	for n := range clients {
		go func() {
			lost, err := writeSlowly(log, router, fmt.Sprintf("client %d", n), large, trouble)
			results <- result{lost, err}
		}()
	}
	lost := 0
	for range clients {
		r := <-results
		if r.err != nil {
			err = r.err
		}
		if r.lost {
			lost++
		}
	}
	log.say("requests written whole and never answered: %d of %d", lost, clients)
	return lost > 0, err
}

// writeSlowly is one client: it is served once, asks for a large object, and while that is open writes another request
// slowly. It reports whether the latter was written whole and got no answer.
func writeSlowly(log *record, router *routerProcess, name, large string, trouble bool) (lost bool, err error) {
	c, err := dialClient(router.address)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	bytes, seq := c.call(request{class: "stills", id: newID(), object: object(1), limit: 2500 * time.Millisecond})
	if _, err := c.conn.Write(bytes); err != nil {
		return false, err
	}
	got, err := c.answer()
	log.line("%s: %d is answered: %s", name, seq, got.said)
	if err != nil || got.said != "served" {
		return false, fmt.Errorf("the first request was answered %q: %w", got.said, err)
	}
	bytes, first := c.call(request{class: "video-parts", id: newID(), object: large, limit: slowLimit})
	if _, err := c.conn.Write(bytes); err != nil {
		return false, err
	}
	log.line("%s: %d is written", name, first)
	asked := request{
		class: "video-parts", id: newID(), object: object(2), limit: slowLimit, body: strings.Repeat("b", bodySize),
	}
	bytes, slow := c.call(asked)
	answers := make(chan string, 8)
	c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	go func() {
		defer close(answers)
		for {
			got, err := c.answer()
			if err != nil {
				if err != io.EOF {
					log.line("%s: %v", name, err)
				} else {
					log.line("%s: the router has ended the connection", name)
				}
				return
			}
			log.line("%s: %d is answered: %s", name, got.seq, got.said)
			if got.seq == slow {
				answers <- got.said
			}
		}
	}()
	const steps = 26
	log.line("%s: %d begins to be written", name, slow)
	for step := range steps {
		piece := bytes[len(bytes)*step/steps : len(bytes)*(step+1)/steps]
		if trouble && step > 0 {
			time.Sleep(writing / (steps - 1))
		}
		if _, err := c.conn.Write(piece); err != nil {
			log.line("%s: %d could not be written whole: %v", name, slow, err)
			return false, nil
		}
	}
	log.line("%s: %d is written whole", name, slow)
	select {
	case _, answered := <-answers:
		if !answered {
			log.line("%s: %d is lost", name, slow)
		}
		return !answered, nil
	case <-time.After(slowLimit + later + slack):
		log.line("%s: %d is not answered in %v", name, slow, slowLimit+later)
		return true, nil
	}
}
