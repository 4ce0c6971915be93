package downstream

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/gaissmai/bart"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/downstream/poller"
	"tealpath/internal/neterr"
)

// NetworkPolicies is how connections are kept by their clients' networks.
type NetworkPolicies struct {
	Policies  []idle.Policy       // the first is for whoever is in no other
	ByAddress *bart.Table[uint16] // places in Networks; nil is none
}

var seed = maphash.MakeSeed()

// find tells a client by a number, and its network.
func (k *NetworkPolicies) find(address net.Addr) (client uint64, network uint16) {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, 0
	}
	ip := tcp.AddrPort().Addr().Unmap()
	if k.ByAddress != nil {
		network, _ = k.ByAddress.Lookup(ip)
	}
	raw := ip.As16()
	return maphash.Bytes(seed, raw[:]), network
}

// place is what a place of the table stands for: a client, or a parked descriptor.
type place struct {
	client   *client
	fd       int32  // -1: not parked
	segments uint16 // that had come when it was parked: enough to count those since
	fresh    bool   // parked before it asked for anything
}

// put says what a place of the table stands for; places are locked.
func (f *Server) put(id idle.ID, p place) {
	for len(f.at) <= int(id) {
		f.at = append(f.at, place{fd: -1})
	}
	f.at[id] = p
}

// errPark ends the reading from a connection that is idle.
var errPark = errors.New("front: idle")

// settle tells the table what has become of a connection; the client is locked.
func (c *client) settle() {
	s := idle.StateNew
	switch {
	case c.lingering:
		s = idle.StateClosing
	case len(c.open) > 0 || len(c.queue) > 0 || c.writing:
		s = idle.StateActive
	case c.reading:
		s = idle.StateReading
	case c.answered:
		s = idle.StateIdle
	}
	if s == c.state || c.gone {
		return
	}
	c.state = s
	c.front.places.Lock()
	defer c.front.places.Unlock()
	if c.front.holds(c.place, c.generation) {
		c.front.table.SetState(c.front.now(), c.place, s)
	}
}

// holds tells whether a place is still that of a generation; places are locked.
func (f *Server) holds(id idle.ID, generation uint32) bool {
	return f.table.Generation(id) == generation
}

// all is how many connections there are.
func (f *Server) all() int {
	f.places.Lock()
	defer f.places.Unlock()
	return f.table.Len()
}

// rest says what an idle connection is to do whose reader has waited long enough: park, go on waiting, or end.
func (c *client) rest() (done bool, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.shut:
		return true, errShut
	case !c.answered:
		return true, nil
	case !c.front.parks() || len(c.open) > 0 || len(c.queue) > 0 || c.writing || c.offended:
		return false, nil // the table closes it when its time is up
	}
	c.parking, c.reading = true, false
	c.settle()
	return true, errPark
}

// parks tells whether idle connections can rest here.
func (f *Server) parks() bool { return f.lot != nil && !f.refusesParking.Load() }

// noParking has idle connections keep what they hold from now on: the system refuses what resting takes. It says so once.
func (f *Server) noParking(why error) {
	if !f.refusesParking.Swap(true) {
		f.log("idle connections keep their buffers, the system lets them rest no more: " + why.Error())
	}
}

// notParked notes that a connection could not be parked: for good, or for want of something that comes back. Then it is tried again
// once the connection has been idle for as long again.
func (f *Server) notParked(why error) {
	if !neterr.IsExhausted(why) {
		f.noParking(why)
	}
}

// wakeAll makes connections of all that rest: nothing tells any more what comes on them.
func (f *Server) wakeAll(ctx context.Context) {
	f.places.Lock()
	var keys []uint64
	for id := range f.at {
		if f.at[id].fd >= 0 {
			keys = append(keys, key(idle.ID(id), f.table.Generation(idle.ID(id))))
		}
	}
	f.places.Unlock()
	for _, key := range keys {
		f.resume(ctx, key, time.Now())
	}
}

// park gives up all of a connection but its descriptor. It tells whether that is done.
func (f *Server) park(c *client) bool {
	if c.isShut() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places.Lock()
	defer f.places.Unlock()
	if !f.holds(c.place, c.generation) {
		return false // it has made room
	}
	// Within the lock: what comes at once finds the place ready.
	fd, err := f.lot.Suspend(c.conn, key(c.place, c.generation))
	if err != nil {
		f.notParked(err)
		return false
	}
	f.at[c.place] = place{fd: int32(fd), segments: uint16(c.arrivals.segments)}
	delete(f.clients, c.id)
	return true
}

// layToRest parks a connection that has said nothing yet. It tells whether that is done.
func (f *Server) layToRest(conn net.Conn, id idle.ID, generation uint32) bool {
	f.places.Lock()
	defer f.places.Unlock()
	fd, err := f.lot.Suspend(conn, key(id, generation))
	if err != nil {
		f.notParked(err)
		return false
	}
	f.put(id, place{fd: int32(fd), fresh: true})
	return true
}

// forget takes a client out.
func (f *Server) forget(c *client) {
	f.mu.Lock()
	delete(f.clients, c.id)
	f.mu.Unlock()
	f.places.Lock()
	defer f.places.Unlock()
	if f.holds(c.place, c.generation) {
		f.at[c.place] = place{fd: -1}
		f.table.Remove(c.place)
	}
}

// evict closes a connection that nobody needs, parked or not, unless something has come on it.
func (f *Server) evict(id idle.ID) bool {
	f.places.Lock()
	c, fd := f.at[id].client, int(f.at[id].fd)
	if c == nil {
		defer f.places.Unlock()
		if fd < 0 {
			return false
		}
		switch f.calls.Peek(fd) {
		case poller.Data: // in this very instant: the lot tells of it, and it is answered
			f.table.SetState(f.now(), id, idle.StateActive)
			return false
		case poller.Undetermined: // its reader will find out
			f.postpone(id, wakeUp{key: key(id, f.table.Generation(id)), since: time.Now()})
			return false
		}
		f.shutParked(id)
		return true
	}
	f.places.Unlock()
	if !c.takeOut() {
		return false
	}
	f.mu.Lock()
	delete(f.clients, c.id)
	f.mu.Unlock()
	f.places.Lock()
	defer f.places.Unlock()
	if f.holds(c.place, c.generation) && f.at[id].client == c {
		f.at[id] = place{fd: -1}
		f.table.Remove(id)
	}
	return true
}

// closing is a descriptor that was parked and is told that it ends.
type closing struct {
	fd    int
	until time.Time
}

// shutParked half-closes a parked connection on which nothing has come, and frees its place; places are locked. What comes in
// this very moment is read and thrown away until the client has seen the end, or for a moment: closing over it reset the
// connection.
func (f *Server) shutParked(id idle.ID) {
	fd := int(f.at[id].fd)
	f.at[id] = place{fd: -1}
	f.table.Remove(id)
	f.lot.Remove(fd)
	poller.CloseWrite(fd)
	if len(f.closing) > f.limits.MaxConnections/closingPart {
		f.lot.CloseDescriptor(f.closing[0].fd)
		f.closing = f.closing[1:]
	}
	f.closing = append(f.closing, closing{fd, time.Now().Add(shutMost)})
}

// closingPart is the part of the connections that may be at their end beside those that are counted.
const closingPart = 8

// closeShut closes parked connections that were told that they end, once their clients have closed too or their time is up.
func (f *Server) closeShut() {
	f.places.Lock()
	defer f.places.Unlock()
	now := time.Now()
	f.closing = slices.DeleteFunc(f.closing, func(c closing) bool {
		over := f.calls.Discard(c.fd) || now.After(c.until)
		if over {
			f.lot.CloseDescriptor(c.fd)
		}
		return over
	})
}

// CloseIdle tells every connection that is owed nothing that it ends, and closes the listener once nobody waits behind it: what
// waits there is taken in first. Called again it goes on with what had something open before.
func (f *Server) CloseIdle() {
	if !f.shut.Load() && !f.backlog() {
		f.shut.Store(true)
		f.listener.Close()
	}
	f.mu.Lock()
	clients := slices.Collect(maps.Values(f.clients))
	f.mu.Unlock()
	for _, c := range clients {
		if !c.isLingering() && !c.isReading() { // part of a request has come: the rest is waited for
			c.takeOut()
		}
	}
	f.places.Lock()
	for id := range f.at {
		if f.at[id].fd >= 0 {
			if content := f.calls.Peek(int(f.at[id].fd)); content == poller.NoData || content == poller.EndOfStream {
				f.shutParked(idle.ID(id))
			}
		}
	}
	f.places.Unlock()
	f.closeShut()
}

// OpenConnections is how many connections have not ended, with the listener where it stands still.
func (f *Server) OpenConnections() int {
	open := 0
	if !f.closed.Load() {
		open = 1
	}
	f.places.Lock()
	defer f.places.Unlock()
	return open + f.table.Len() + len(f.closing) + int(f.refusing.Load())
}

// backlog tells whether a connection waits to be accepted.
func (f *Server) backlog() bool {
	listener, ok := f.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	raw.Control(func(fd uintptr) { waits = f.calls.Readable(int(fd)) })
	return waits
}

// ConnectionCounts is how many connections are in which state.
type ConnectionCounts struct {
	All       int `json:"all"`
	New       int `json:"fresh"`
	Active    int `json:"busy"`
	Reading   int `json:"reading"`
	Idle      int `json:"idle"`
	Closing   int `json:"closing"`
	Suspended int `json:"parked"`  // of those that are idle: they hold a descriptor alone
	Waiting   int `json:"waiting"` // parked, with something come that is not taken in yet
}

// Counts tells how many connections are in which state.
func (f *Server) Counts() ConnectionCounts {
	active := f.active()
	f.places.Lock()
	defer f.places.Unlock()
	t := f.table
	return ConnectionCounts{All: t.Len(), New: t.Count(idle.StateNew), Active: t.Count(idle.StateActive), Reading: t.Count(idle.StateReading),
		Idle: t.Count(idle.StateIdle), Closing: t.Count(idle.StateClosing), Suspended: max(0, t.Len()-active), Waiting: int(f.waiting.Load())}
}

// wakeUp is a parked connection that is to be resumed, and since when something may have been there to be read.
type wakeUp struct {
	key   uint64
	since time.Time
}

// postpone keeps a parked connection for the next try; places are locked. What it is owed stays owed.
func (f *Server) postpone(id idle.ID, w wakeUp) {
	f.table.SetState(f.now(), id, idle.StateActive)
	f.postponed = append(f.postponed, w)
}

// postpones tells whether parked connections wait to be resumed again.
func (f *Server) postpones() bool {
	f.places.Lock()
	defer f.places.Unlock()
	return f.resuming || len(f.postponed) > 0
}

// resumePostponed tries again what could not be resumed, and tells whether some of it still can't.
func (f *Server) resumePostponed(ctx context.Context) bool {
	f.places.Lock()
	again := f.postponed
	f.postponed, f.resuming = nil, true
	f.places.Unlock()
	for _, w := range again {
		f.resume(ctx, w.key, w.since)
	}
	f.places.Lock()
	defer f.places.Unlock()
	f.resuming = false
	return len(f.postponed) > 0
}

// key of a place, as the lot gives it back.
func key(id idle.ID, generation uint32) uint64 { return uint64(uint32(id))<<32 | uint64(generation) }

func unkey(key uint64) (idle.ID, uint32) { return idle.ID(int32(key >> 32)), uint32(key) }

// janitorLongest is how long the janitor waits at most: new connections may expire sooner than what was waited for.
const janitorLongest = 100 * time.Millisecond

// janitor wakes parked connections and closes those whose time is up, at the pace that the table sets.
func (f *Server) janitor(ctx context.Context) {
	if f.lot != nil {
		f.group.Go(func() { f.watch(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		wait := janitorLongest
		for {
			f.heart.beat(f.now())
			f.places.Lock()
			id, next := f.table.NextExpired(f.now(), f.limits.Saturated())
			f.places.Unlock()
			if id == idle.None {
				wait = max(min(janitorLongest, time.Duration(next-f.now())), time.Millisecond)
				break
			}
			f.evict(id)
		}
		f.closeShut()
		if f.resumePostponed(ctx) {
			wait = min(wait, acceptGap)
		}
		timer.Reset(wait)
	}
}

// watch makes connections of parked ones on which something has come, so many at a time as the memory bears.
func (f *Server) watch(ctx context.Context) {
	most, pace := idle.MaxActive(f.limits.MaxBytes), idle.NewWakePacer(f.limits.Cores)
	endings := idle.NewClosePacer(f.limits.Cores)
	var keys, asking, ended []uint64
	drained := time.Now() // when it was last known that all on which something had come was given
	for {
		called := time.Now()
		var err error
		keys, err = f.lot.Wait(ctx, keys)
		returned := time.Now()
		since := drained // from when something may have been there to be read
		if int64(returned.Sub(called)) >= waitedFrom {
			now := f.now()
			since = returned.Add(time.Duration(f.heart.woken(now) - now))
			drained = since
		}
		if len(keys) < poller.MaxEvents {
			drained = returned
		}
		if err != nil {
			if neterr.IsTransient(err) && pause(ctx, acceptGap) {
				continue
			}
			if ctx.Err() == nil {
				f.noParking(err)
				f.wakeAll(ctx)
			}
			return
		}
		f.waiting.Store(int64(len(keys)))
		// Those that ask come before those that have ended: of these a wave brings many at once. Each is asked once: one
		// that changed sides in between would be told of no more.
		asking, ended = asking[:0], ended[:0]
		for _, key := range keys {
			if f.asked(key) {
				asking = append(asking, key)
			} else {
				ended = append(ended, key)
			}
		}
		if !f.wake(ctx, asking, pace, most, since) || !f.wake(ctx, ended, endings, most, since) {
			return
		}
	}
}

// wake sees to parked connections at a pace, unless the context ends.
func (f *Server) wake(ctx context.Context, keys []uint64, pace *idle.Pacer, most int, since time.Time) bool {
	for _, key := range keys {
		for {
			wait := time.Duration(pace.Wait(f.now(), f.limits.Saturated()))
			if wait <= 0 {
				break
			}
			if !pause(ctx, wait) {
				return false
			}
		}
		for tries := 0; f.active() >= most && tries < idle.MaxWakeDelayMS; tries++ {
			if !pause(ctx, time.Millisecond) {
				return false
			}
		}
		f.resume(ctx, key, since)
		f.waiting.Add(-1)
	}
	return true
}

// asked tells whether something can be read on a parked connection, rather than its end.
func (f *Server) asked(key uint64) bool {
	id, generation := unkey(key)
	f.places.Lock()
	defer f.places.Unlock()
	if int(id) >= len(f.at) || !f.holds(id, generation) || f.at[id].fd < 0 {
		return false
	}
	return f.calls.Peek(int(f.at[id].fd)) == poller.Data
}

// parkAfter is how long an idle connection keeps what it holds.
func (f *Server) parkAfter() int64 {
	return idle.SuspendDelay(int(f.waiting.Load()), int(f.holding.Load()), idle.MaxActive(f.limits.MaxBytes))
}

// active is how many connections hold goroutines and buffers.
func (f *Server) active() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// resume makes a connection of a parked one, or closes it if it has ended. Where its client has closed behind what it sent, and that
// has waited to be read since then, it is refused: the client may still read.
func (f *Server) resume(ctx context.Context, key uint64, since time.Time) {
	id, generation := unkey(key)
	f.places.Lock()
	if int(id) >= len(f.at) || !f.holds(id, generation) || f.at[id].fd < 0 {
		f.places.Unlock()
		return // it has made room, or its time was up
	}
	fd := int(f.at[id].fd)
	gone := idle.Abandoned(int64(time.Since(since)), f.calls.PeerClosed(fd))
	if f.calls.Peek(fd) == poller.EndOfStream {
		f.lot.CloseDescriptor(fd)
		f.at[id] = place{fd: -1}
		f.table.Remove(id)
		f.places.Unlock()
		return
	}
	parked := f.at[id]
	f.at[id] = place{fd: -1}
	f.table.SetState(f.now(), id, idle.StateReading)
	f.places.Unlock()
	conn, err := f.lot.Resume(fd)
	if err != nil {
		f.places.Lock()
		defer f.places.Unlock()
		f.at[id] = parked
		f.postpone(id, wakeUp{key, since})
		return
	}
	if gone {
		f.places.Lock()
		f.table.Remove(id)
		f.places.Unlock()
		f.refuse(ctx, conn)
		return
	}
	c := f.enter(conn, id, generation, !parked.fresh)
	c.arrivals.begin(f.now()-int64(time.Since(since)), uint32(parked.segments))
	c.reading = true
	f.run(ctx, c)
}

// closeParked closes what is parked at the end.
func (f *Server) closeParked() {
	f.places.Lock()
	defer f.places.Unlock()
	for id := range f.at {
		if f.at[id].fd >= 0 {
			f.lot.CloseDescriptor(int(f.at[id].fd))
			f.at[id].fd = -1
		}
	}
	for _, c := range f.closing {
		f.lot.CloseDescriptor(c.fd)
	}
	f.closing = nil
}

// refused logs that somebody was at a bound of the operator's, once in a while.
func (f *Server) refused(v idle.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	const every = 10 * time.Second
	if f.refusals++; time.Since(f.refusedAt) < every {
		return
	}
	bound := map[idle.Verdict]string{idle.ClientLimitReached: "a client", idle.NetworkLimitReached: "a network"}[v]
	f.log(fmt.Sprintf("connections refused at the operator's bound for %s, %d so far", bound, f.refusals))
	f.refusedAt = time.Now()
}
