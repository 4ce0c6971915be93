// Package discovery follows the journal service: changes of the list of members, and purges.
package discovery

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealpath/control"
	"tealpath/internal/clock"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/sse"
	"tealpath/internal/router"
)

const (
	path       = "/journal"
	dialMost   = 700 * time.Millisecond
	brokenMost = 3 // times that an event is read again before it is passed over
)

// Watcher reads the journal service and posts what it tells. When it calls, and what it believes, startup.CallSchedule and startup.ListFilter
// decide.
type Watcher struct {
	last   int64
	post   func(router.Event)
	log    func(string)
	odd    int           // times that the event behind the last one could not be used
	silent time.Duration // in tests: waited for the next byte at most
	dial   dialFunc
	calls  *startup.CallSchedule
	lists  startup.ListFilter
	clock  clock.Clock
	kept   *kept // a list known before that waits to be confirmed; nil: there is none

	mu      sync.Mutex
	address string
	cut     context.CancelFunc // ends the connection in hand, or the wait for the next
}

// dialFunc opens a connection, as net.Dialer.DialContext does; tests put errors of the system in its place.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ServiceReached is posted when the service itself has spoken on a new connection.
type ServiceReached struct{}

// EventProcessed is posted behind what an event told: its number, and the digest of its text.
type EventProcessed struct {
	Position int64
	Digest   uint64
}

// kept is a list that was known before the start.
type kept struct {
	confirm restore.ListConfirmation
	list    router.EndpointListUpdated
}

// Config is what a watcher is made of.
type Config struct {
	Address  string                // of the discovery service, as host:port
	History  History               // what was known before the first call
	Schedule *startup.CallSchedule // when the service is called
	Post     func(router.Event)    // takes the events, in order; it may block
	Log      func(string)
	Clock    clock.Clock // nil is clock.System
}

// NewWatcher returns a watcher that resumes after what is already known.
func NewWatcher(config Config) *Watcher {
	known := config.History
	f := &Watcher{
		address: config.Address,
		last:    known.Position,
		lists:   known.lists,
		calls:   config.Schedule,
		post:    config.Post,
		log:     config.Log,
		clock:   config.Clock,
		dial:    (&net.Dialer{Timeout: dialMost}).DialContext,
	}
	if f.clock == nil {
		f.clock = clock.System()
	}
	switch {
	case known.listed:
		config.Schedule.ListReceived()
	case known.kept != nil:
		f.kept, f.last = known.kept, known.kept.confirm.ResumeAfter()
	}
	return f
}

// SetAddress makes the watcher go on at an address, behind the last event. The connection in hand is not waited for: the
// service before tells nothing more on it, but may keep it open.
func (f *Watcher) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = address
	if f.cut != nil {
		f.cut()
	}
}

// Run reads until the context ends; after every break it goes on behind the last event.
func (f *Watcher) Run(ctx context.Context) error {
	lost, wait := false, f.calls.FirstDelay()
	for ctx.Err() == nil {
		once, cut := context.WithCancel(ctx)
		f.mu.Lock()
		f.cut = cut
		f.mu.Unlock()
		select {
		case <-time.After(time.Duration(wait)):
		case <-once.Done():
		}
		if once.Err() == nil {
			f.mu.Lock()
			address := f.address
			f.mu.Unlock()
			how, err := f.follow(once, address, func() {
				if lost {
					lost = false
					f.log("journal service connected again")
				}
			})
			if once.Err() == nil {
				wait = f.calls.CallEnded(f.clock.Now(), how)
				if !lost {
					lost = true
					f.log(fmt.Sprintf("journal service lost behind event %d, %s: %v", f.last, how, err))
				}
			}
		}
		if once.Err() != nil {
			wait = f.calls.AddressChanged(f.clock.Now()) // nothing is known of this address yet
		}
		cut()
	}
	return nil
}

// patience is until when the next byte is waited for.
func (f *Watcher) patience() time.Time {
	span := time.Duration(f.calls.ReadTimeout())
	if f.silent > 0 {
		span = min(span, f.silent)
	}
	return time.Now().Add(span)
}

// follow reads one connection; heard is called for the first that comes. It tells how the connection ended.
func (f *Watcher) follow(ctx context.Context, address string, heard func()) (startup.CallResult, error) {
	dialled, err := f.dial(ctx, "tcp", address)
	switch {
	case neterr.IsLocal(err):
		return startup.LocalError, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return startup.Refused, err
	case err != nil:
		return startup.Unreachable, err
	}
	conn := neterr.Conn{Conn: dialled}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	spoke := false
	ended := func(err error) (startup.CallResult, error) {
		quiet := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case quiet && spoke:
			return startup.Silent, err
		case quiet:
			return startup.Unanswered, err
		}
		return startup.Disconnected, err
	}
	f.calls.CallStarted(f.clock.Now())
	conn.SetDeadline(f.patience())
	if err := sse.Request(conn, address, path, strconv.FormatInt(f.last, 10)); err != nil {
		return ended(err)
	}
	from := &waiting{Conn: conn, watcher: f}
	stream, err := sse.Open(from)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return startup.Truncated, err // asked, and nothing was said
	}
	if err != nil {
		return ended(err)
	}
	from.stream = stream
	for {
		e, err := stream.Next()
		if err != nil {
			if how, err := ended(err); !stream.Inside() && (spoke || how != startup.Disconnected) {
				return how, err
			}
			return startup.Truncated, err
		}
		f.calls.DataReceived()
		if !spoke {
			spoke = true
			heard()
			f.post(ServiceReached{})
		}
		if e.Comment {
			if f.kept != nil && f.kept.confirm.ObserveComment() == restore.Denied {
				return ended(f.denied())
			}
			continue
		}
		if err := f.take(e); errors.Is(err, errDoubt) {
			return ended(err) // whole and understood: a service that has half a list is not asked by all at full speed
		} else if err != nil {
			return startup.Truncated, err
		}
	}
}

// waiting is a connection that is waited on for the next byte: between events for as long as a comment may take, inside one
// for much less. One that stood still inside an event was found as late as a silent one, though it counted as told long since.
type waiting struct {
	net.Conn
	watcher *Watcher
	stream  *sse.Stream // nil: its head has not come
}

func (w *waiting) Read(p []byte) (int, error) {
	until := w.watcher.patience()
	if w.stream != nil && w.stream.Inside() {
		until = time.Now().Add(time.Duration(w.watcher.calls.StallTimeout()))
	}
	w.SetReadDeadline(until)
	return w.Conn.Read(p)
}

// denied drops a list known before; the service is asked for all it has.
func (f *Watcher) denied() error {
	f.kept, f.last = nil, 0
	return errors.New("the list of the snapshot is not confirmed: all is asked for")
}

// confirmed puts a list known before in force: the service has told the event again that it went up to.
func (f *Watcher) confirmed(position int64, digest uint64) {
	f.log(fmt.Sprintf("the list of the snapshot is confirmed, with event %d", position))
	about := startup.ListSummary{Position: position, Complete: true, Endpoints: len(f.kept.list.Entries)}
	for _, line := range f.kept.list.Entries {
		if line.Phase == "ready" {
			about.ReadyEndpoints++
		}
	}
	f.lists.Evaluate(f.clock.Now(), about)
	f.calls.ListReceived()
	f.post(f.kept.list)
	f.post(EventProcessed{position, digest})
	f.kept, f.last = nil, position
}

// errDoubt is a list that is asked for again before it counts.
var errDoubt = errors.New("a list in doubt")

// take posts an event that is the next one. One that cannot be used is asked for again, and passed over in
// the end: what follows counts more.
func (f *Watcher) take(e sse.Event) error {
	pos, told, list, err := decode(e.Data)
	digest := xxhash.Sum64(e.Data)
	if f.kept != nil {
		switch f.kept.confirm.ObserveEvent(pos, digest) {
		case restore.Confirmed:
			f.confirmed(pos, digest)
			return nil
		case restore.Denied:
			if !list.Complete { // a whole list takes its place
				return f.denied()
			}
			f.kept, f.last = nil, 0
		}
	}
	if id, bad := strconv.ParseInt(e.ID, 10, 64); bad == nil && (err != nil || pos == 0) {
		pos = id
	}
	next := f.last + 1
	if list.Complete && err == nil {
		switch f.lists.Evaluate(f.clock.Now(), list) {
		case startup.Unconfirmed:
			f.log(fmt.Sprintf("a list of %d members, %d ready, is asked for again before it counts", list.Endpoints, list.ReadyEndpoints))
			return fmt.Errorf("event %d: %w of %d members", pos, errDoubt, list.Endpoints)
		case startup.Stale:
			return nil
		}
		if pos < next {
			f.log(fmt.Sprintf("journal service counts anew, from %d; event %d was the last", pos, f.last))
		}
		next, f.last = pos, pos-1
	}
	switch {
	case pos > 0 && pos < next:
		return nil // a repeat
	case err == nil && pos == next:
	case f.odd < brokenMost:
		f.odd++
		if err == nil {
			err = errors.New("events are missing")
		}
		return fmt.Errorf("event %d: %w", pos, err)
	}
	if f.odd = 0; pos > next {
		f.log(fmt.Sprintf("journal events %d to %d are missing", next, pos-1))
	}
	f.last = max(f.last, pos)
	f.lists.Advance(f.last)
	if err != nil {
		f.log(fmt.Sprintf("journal event %d passed over: %v", pos, err))
		return nil
	}
	if told != nil {
		if list.Endpoints > 0 {
			f.calls.ListReceived()
		}
		f.post(told)
	}
	f.post(EventProcessed{f.last, digest})
	return nil
}

// states says in the module's terms what the journal service says in its own.
var states = map[string]string{"active": "ready", "leaving": "draining", "left": "gone"}

// entry is an event's form.
type entry struct {
	Pos   int64
	Hosts *struct {
		Generation int64
		Reset      bool
		Instances  []struct {
			InstanceID, HostPort, Zone, MachineType, Lifecycle string
			Cell                                               int64
			Weight                                             *float64
			StartedAtMs                                        int64
		}
	}
	Expire *struct {
		Name  string
		Set   *int64
		Stamp purgeStamp
	}
}

// purgeStamp is the time of a purge, Unix ms. One that is no whole number is read as 0, which is none: the purge counts from when
// it was told. An event that can't be read is passed over in the end, and with it the purge would be.
type purgeStamp int64

// UnmarshalJSON implements json.Unmarshaler.
func (s *purgeStamp) UnmarshalJSON(raw []byte) error {
	ms, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		ms = 0
	}
	*s = purgeStamp(ms)
	return nil
}

// decodeEvent reads one event: its number and what it tells, nil where that is nothing for a router.
func decodeEvent(raw []byte) (int64, router.Event, error) {
	pos, told, _, err := decode(raw)
	return pos, told, err
}

// decode gives beside that what a list says of itself.
func decode(raw []byte) (int64, router.Event, startup.ListSummary, error) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return 0, nil, startup.ListSummary{}, err
	}
	told, err := e.tells()
	about := startup.ListSummary{Position: e.Pos}
	if l, ok := told.(router.EndpointListUpdated); ok {
		about.Generation, about.Complete, about.Endpoints = e.Hosts.Generation, l.Complete, len(l.Entries)
		for _, line := range l.Entries {
			if line.Phase == "ready" {
				about.ReadyEndpoints++
			}
		}
		about.Digest = digest(l.Entries)
	}
	return e.Pos, told, about, err
}

// digest tells lists apart that differ in anything.
func digest(lines []router.EndpointEntry) uint64 {
	hash := xxhash.New()
	var line []byte
	for _, l := range lines {
		line = line[:0]
		for _, text := range []string{l.Instance, l.Address, l.Location, l.Kind, l.Phase} {
			line = binary.AppendUvarint(line, uint64(len(text)))
			line = append(line, text...)
		}
		line = binary.BigEndian.AppendUint64(line, uint64(l.Cell))
		line = binary.BigEndian.AppendUint64(line, math.Float64bits(l.Capacity))
		line = binary.BigEndian.AppendUint64(line, uint64(l.StartedAt))
		hash.Write(line)
	}
	return hash.Sum64()
}

func (e entry) tells() (router.Event, error) {
	switch {
	case e.Hosts != nil:
		list := router.EndpointListUpdated{Complete: e.Hosts.Reset || e.Pos == 1}
		if n := len(e.Hosts.Instances); n > 0 {
			list.Entries = make([]router.EndpointEntry, 0, n)
		}
		for _, i := range e.Hosts.Instances {
			if i.InstanceID == "" {
				return nil, errors.New("an instance without an id")
			}
			line := router.EndpointEntry{Instance: i.InstanceID, Address: i.HostPort, Endpoint: control.Endpoint{
				Location: i.Zone, Kind: i.MachineType, Cell: i.Cell, Phase: states[i.Lifecycle], Capacity: 1,
				StartedAt: clock.FromUnixMilli(i.StartedAtMs),
			}}
			if line.Phase == "" {
				line.Phase = "draining" // an unknown state: nothing new is sent to it
			}
			if i.Weight != nil {
				line.Capacity = *i.Weight
			}
			list.Entries = append(list.Entries, line)
		}
		return list, nil
	case e.Expire != nil:
		p := router.PurgeReceived{Object: e.Expire.Name, PurgedAt: clock.FromUnixMilli(int64(e.Expire.Stamp))}
		if e.Expire.Set != nil {
			p.Group = *e.Expire.Set
		} else if p.Object == "" {
			return nil, errors.New("a purge of nothing")
		}
		return p, nil
	}
	return nil, nil
}

// History is what a configuration knew of the service's events: the last one's number.
type History struct {
	Position int64
	lists    startup.ListFilter
	listed   bool  // a list was among them
	kept     *kept // from a snapshot
}

// AddSnapshotList adds a list that a snapshot has, with the number and the digest of the event that it went up to. Where a configuration
// knows a list that counts, and nothing changes.
func (p *History) AddSnapshotList(position int64, digest uint64, members []router.EndpointEntry) bool {
	if p.listed || position < 1 || len(members) == 0 {
		return false
	}
	p.kept = &kept{restore.ListConfirmation{Position: position, Digest: digest}, router.EndpointListUpdated{Complete: true, Entries: members}}
	return true
}

// ParseHistory reads the events that a configuration holds: what they tell, in order, and how far they go.
func ParseHistory(raw []byte) (past History, told []router.Event, err error) {
	if len(raw) == 0 || string(raw) == "null" {
		return History{}, nil, nil
	}
	var known struct {
		Pos     int64
		Entries []json.RawMessage
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return History{}, nil, fmt.Errorf("known: %w", err)
	}
	for n, raw := range known.Entries {
		_, e, list, err := decode(raw)
		if err != nil {
			return History{}, nil, fmt.Errorf("known: entry %d: %w", n+1, err)
		}
		if list.Endpoints > 0 {
			past.lists.Evaluate(0, list)
			past.listed = true
		}
		if e != nil {
			told = append(told, e)
		}
	}
	past.Position = known.Pos
	past.lists.Advance(known.Pos)
	return past, told, nil
}
