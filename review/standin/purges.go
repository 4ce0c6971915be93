package main

import (
	"fmt"
	"strconv"
	"time"
)

// Figures of the rule on purges, from the pages.
const (
	purgeGrace = 300 * time.Millisecond  // the settings' time to heed a purge
	slack      = 50 * time.Millisecond   // each time limit is longer by this on sockets
	dropAfter  = 5800 * time.Millisecond // all caches drop older copies by themselves within 6 s of the purge
	measuring  = 50 * time.Millisecond   // allowed besides
)

// purgeCase is a case in which a group of objects is purged.
type purgeCase struct {
	routers int
	// disturb does the disruption, calls purge, and returns when every router counts as told of the purge.
	disturb func(w *world, purge func()) (told time.Time)
}

// playPurge starts routers and traffic, purges all objects, and looks for requests that are sent too late to be served
// with an older copy, and are.
func playPurge(log *record, folder string, c purgeCase) (broken bool, err error) {
	w, err := newWorld(log, 4)
	if err != nil {
		return false, err
	}
	d := &deployment{folder: folder, settings: small(c.routers), known: w.journal.known(), journal: w.journal.addr}
	var clients []*traffic
	for n := range c.routers {
		router, err := d.start(fmt.Sprintf("n%d", n))
		if err != nil {
			return false, err
		}
		t, err := startTraffic(log, router, 40)
		if err != nil {
			return false, err
		}
		clients = append(clients, t)
	}
	time.Sleep(2500 * time.Millisecond)
	for n, t := range clients {
		if t.servedCount() < 50 {
			return false, fmt.Errorf("router n%d has served %d requests, at least 50 are needed", n, t.servedCount())
		}
	}
	var purgedAt time.Time
	purge := func() {
		purgedAt = fromStamp(stamp(time.Now()))
		w.journal.publish(`{"pos":%d,"expire":{"set":17,"stamp":` + strconv.FormatInt(stamp(purgedAt), 10) + `}}`)
		for _, s := range w.servers() {
			time.AfterFunc(dropAfter, func() { s.drop(purgedAt) })
		}
	}
	told := c.disturb(w, purge)
	time.Sleep(time.Until(purgedAt.Add(dropAfter + time.Second)))
	limit := told.Add(purgeGrace + slack + measuring)
	log.say("purged at %.2f s; every router counts as told at %.2f s, and what is sent after %.2f s may get no older copy",
		purgedAt.Sub(log.begin).Seconds(), told.Sub(log.begin).Seconds(), limit.Sub(log.begin).Seconds())
	for n, t := range clients {
		t.end()
		old := t.servedOld(limit, purgedAt)
		broken = broken || len(old) > 0
		log.say("router n%d: %d requests sent later were served with a copy from before the purge", n, len(old))
		if len(old) > 0 {
			log.say("  the first was sent at %.2f s, the last at %.2f s",
				old[0].sentAt.Sub(log.begin).Seconds(), old[len(old)-1].sentAt.Sub(log.begin).Seconds())
		}
	}
	return broken, nil
}

// eventsInPieces: the discovery service writes each event in two pieces.
func eventsInPieces(log *record, folder string, trouble bool) (bool, error) {
	return playPurge(log, folder, purgeCase{
		routers: 3,
		disturb: func(w *world, purge func()) time.Time {
			if trouble {
				w.journal.setPieces(120 * time.Millisecond)
			}
			purge()
			// The event is written whole 0.12 s later. A watch that ends meanwhile counts as a break, 2 s after which
			// the router counts as told.
			return time.Now().Add(120*time.Millisecond + 2*time.Second)
		},
	})
}
