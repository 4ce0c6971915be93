// Package feed follows the journal service: changes of the list of members, and purges.
package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"tealpath/control"
	"tealpath/router"
	"tealpath/sse"
)

const (
	path       = "/journal"
	dialMost   = 700 * time.Millisecond
	silentMost = 1700 * time.Millisecond // a comment comes each second; what a stopped service has to tell counts after 4 s
	againFirst = 50 * time.Millisecond
	againMost  = 500 * time.Millisecond
	brokenMost = 3 // times that an event is read again before it is passed over
)

// Feed reads the journal service and posts what it tells.
type Feed struct {
	last   int64
	post   func(router.Event)
	log    func(string)
	odd    int           // times that the event behind the last one could not be used
	silent time.Duration // after which a connection is given up

	mu      sync.Mutex
	address string
	cut     context.CancelFunc // ends the connection in hand, or the wait for the next
}

// New makes a feed that goes on behind an event.
func New(address string, last int64, post func(router.Event), log func(string)) *Feed {
	return &Feed{address: address, last: last, post: post, log: log, silent: silentMost}
}

// Move makes the feed go on at an address, behind the last event. The connection in hand is not waited for: the
// service before tells nothing more on it, but may keep it open.
func (f *Feed) Move(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = address
	if f.cut != nil {
		f.cut()
	}
}

// Run reads until the context ends; after every break it goes on behind the last event.
func (f *Feed) Run(ctx context.Context) error {
	lost, wait := false, againFirst
	for ctx.Err() == nil {
		once, cut := context.WithCancel(ctx)
		f.mu.Lock()
		f.cut = cut
		address := f.address
		f.mu.Unlock()
		err := f.follow(once, address, func() {
			if wait = againFirst; lost {
				lost = false
				f.log("journal service connected again")
			}
		})
		if once.Err() == nil {
			if !lost {
				lost = true
				f.log(fmt.Sprintf("journal service lost behind event %d: %v", f.last, err))
			}
			select {
			case <-time.After(wait):
			case <-once.Done():
			}
			wait = min(2*wait, againMost)
		}
		if once.Err() != nil {
			wait = againFirst // moved: nothing is known of this address yet
		}
		cut()
	}
	return nil
}

// follow reads one connection; heard is called for all that comes.
func (f *Feed) follow(ctx context.Context, address string, heard func()) error {
	dialer := net.Dialer{Timeout: dialMost}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(f.silent))
	if err := sse.Request(conn, address, path, strconv.FormatInt(f.last, 10)); err != nil {
		return err
	}
	stream, err := sse.Open(conn)
	if err != nil {
		return err
	}
	for {
		conn.SetDeadline(time.Now().Add(f.silent))
		e, err := stream.Next()
		if err != nil {
			return err
		}
		heard()
		if e.Comment {
			continue
		}
		if err := f.take(e); err != nil {
			return err
		}
	}
}

// take posts an event that is the next one. One that cannot be used is asked for again, and passed over in
// the end: what follows counts more.
func (f *Feed) take(e sse.Event) error {
	pos, told, err := Decode(e.Data)
	if id, bad := strconv.ParseInt(e.ID, 10, 64); bad == nil && (err != nil || pos == 0) {
		pos = id
	}
	whole := false
	if list, ok := told.(router.Listed); ok {
		whole = list.Whole
	}
	switch {
	case pos > 0 && pos <= f.last:
		return nil // a repeat
	case err == nil && (pos == f.last+1 || whole):
	case f.odd < brokenMost:
		f.odd++
		if err == nil {
			err = errors.New("events are missing")
		}
		return fmt.Errorf("event %d: %w", pos, err)
	}
	if f.odd = 0; pos > f.last+1 && !whole {
		f.log(fmt.Sprintf("journal events %d to %d are missing", f.last+1, pos-1))
	}
	f.last = max(f.last, pos)
	if err != nil {
		f.log(fmt.Sprintf("journal event %d passed over: %v", pos, err))
		return nil
	}
	if told != nil {
		f.post(told)
	}
	return nil
}

// states says in the module's terms what the journal service says in its own.
var states = map[string]string{"active": "ready", "leaving": "draining", "left": "gone"}

// entry is an event's form.
type entry struct {
	Pos   int64
	Hosts *struct {
		Reset     bool
		Instances []struct {
			InstanceID, HostPort, Zone, MachineType, Lifecycle string
			Cell                                               int64
			Weight                                             *float64
			StartedAtMs                                        int64
		}
	}
	Expire *struct {
		Name  string
		Set   *int64
		Stamp int64
	}
}

// Decode reads one event: its number and what it tells, nil where that is nothing for a router.
func Decode(raw []byte) (int64, router.Event, error) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return 0, nil, err
	}
	told, err := e.tells()
	return e.Pos, told, err
}

func (e entry) tells() (router.Event, error) {
	switch {
	case e.Hosts != nil:
		list := router.Listed{Whole: e.Hosts.Reset || e.Pos == 1}
		for _, i := range e.Hosts.Instances {
			if i.InstanceID == "" {
				return nil, errors.New("an instance without an id")
			}
			line := router.Listing{Instance: i.InstanceID, Address: i.HostPort, Listing: control.Listing{
				Location: i.Zone, Kind: i.MachineType, Cell: i.Cell, Phase: states[i.Lifecycle], Units: 1,
				Started: i.StartedAtMs * 1e6}}
			if line.Phase == "" {
				line.Phase = "draining" // an unknown state: nothing new is sent to it
			}
			if i.Weight != nil {
				line.Units = *i.Weight
			}
			list.Lines = append(list.Lines, line)
		}
		return list, nil
	case e.Expire != nil:
		p := router.Purged{Object: e.Expire.Name, When: e.Expire.Stamp * 1e6}
		if e.Expire.Set != nil {
			p.Group = *e.Expire.Set
		} else if p.Object == "" {
			return nil, errors.New("a purge of nothing")
		}
		return p, nil
	}
	return nil, nil
}

// Known reads the events that a configuration holds: what they tell, in order, and the last one's number.
func Known(raw []byte) (last int64, told []router.Event, err error) {
	if len(raw) == 0 || string(raw) == "null" {
		return 0, nil, nil
	}
	var known struct {
		Pos     int64
		Entries []json.RawMessage
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return 0, nil, fmt.Errorf("known: %w", err)
	}
	for n, raw := range known.Entries {
		_, e, err := Decode(raw)
		if err != nil {
			return 0, nil, fmt.Errorf("known: entry %d: %w", n+1, err)
		}
		if e != nil {
			told = append(told, e)
		}
	}
	return known.Pos, told, nil
}
