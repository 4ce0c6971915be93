package main

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// traffic asks a router for random objects at a pace until it is stopped.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	sentAt map[int32]time.Time
	served []servedCopy
}

// servedCopy is a request that was served.
type servedCopy struct {
	sentAt time.Time // before the client sent the request
	issued time.Time // when the origin gave out the copy, as the body says
}

func startTraffic(log *record, router *routerProcess, perSecond float64) (*traffic, error) {
	c, err := dialClient(router.address)
	if err != nil {
		return nil, err
	}
	t := &traffic{stop: make(chan struct{}), sentAt: map[int32]time.Time{}}
	t.done.Go(func() {
		for {
			got, err := c.answer()
			if err != nil {
				return
			}
			log.line("client of %s: answer to %d: %s %s", router.name, got.seq, got.said, got.body)
			if got.said == "served" {
				t.addServed(got)
			}
		}
	})
	t.done.Go(func() {
		defer c.conn.Close()
		pace := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer pace.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-pace.C:
			}
			asked := request{class: "video-parts", id: newID(), object: object(rand.IntN(500)), limit: 5 * time.Second}
			bytes, seq := c.call(asked)
			t.mu.Lock()
			t.sentAt[seq] = time.Now()
			t.mu.Unlock()
			log.line("client of %s: %d asks for %s as %s", router.name, seq, asked.object, asked.id)
			if _, err := c.conn.Write(bytes); err != nil {
				log.line("client of %s: %v", router.name, err)
				return
			}
		}
	})
	return t, nil
}

func (t *traffic) addServed(got answer) {
	ms, err := strconv.ParseInt(got.body, 10, 64)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = append(t.served, servedCopy{t.sentAt[got.seq], fromStamp(ms)})
}

// servedOld returns the requests that were sent after an instant and served with a copy given out before another one.
func (t *traffic) servedOld(sentAfter, issuedBefore time.Time) (old []servedCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, served := range t.served {
		if served.sentAt.After(sentAfter) && served.issued.Before(issuedBefore) {
			old = append(old, served)
		}
	}
	return old
}

func (t *traffic) servedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.served)
}

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// object returns the name of an object.
func object(number int) string {
	const digits = "0123456789abcdef"
	name := make([]byte, 16)
	for i := range name {
		name[len(name)-1-i] = digits[(number>>(4*min(i, 7)))&15]
	}
	return string(name)
}
