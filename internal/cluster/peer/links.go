// Package peer holds the links between instances: TCP with mutual TLS 1.3 (RFC 8446). Each instance dials its
// peers and sends on what it dialled; what is accepted is read only. So whoever gets a message sent it is
// proved by the dialled address's certificate, and whoever it came from by the accepted one's.
//
// Nothing here waits for a slow peer: each has a bounded queue, which loses its oldest frames. What is lost
// is sent again by those who need it.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"tealpath/internal/logevent"

	"go4.org/netipx"
	"golang.org/x/sync/errgroup"
)

// Bounds and times of links.
const (
	maxQueue         = 64   // frames waiting for one peer
	maxHandshakes    = 16   // at a time
	maxAccepted      = 2048 // all others may link to a voter, and again before their old links are known to be dead
	maxSameName      = 3    // accepted links from one name; the oldest ends
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	idleTimeout      = time.Minute // without a frame on an accepted link
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	flushInterval    = 5 * time.Millisecond
)

// Config is what links go by.
type Config struct {
	Name        string // the own one
	Incarnation uint64
	Listener    net.Listener
	Keys        *Keys
	Allow       *netipx.IPSet // addresses from which and to which links are taken

	// Receive handles a message. It may wait.
	Receive func(name string, incarnation uint64, payload []byte)
	Log     func(logevent.Event)
}

// Links is all links of one instance. Its methods may be called by several goroutines at once.
type Links struct {
	config     Config
	keys       keyHolder
	refusals   refusals
	handshakes chan struct{} // holds one for each under way

	mu       sync.Mutex
	allowed  *netipx.IPSet
	outgoing map[string]*outgoing
	incoming map[string][]net.Conn // by name, the oldest first
	accepted int
	running  context.Context // of Run: links that are added later end with it as well
	group    *errgroup.Group // nil before Run
}

// New makes links that do not run yet.
func New(config Config) *Links {
	links := &Links{
		config:     config,
		refusals:   newRefusals(config.Log),
		handshakes: make(chan struct{}, maxHandshakes),
		allowed:    config.Allow,
		outgoing:   map[string]*outgoing{},
		incoming:   map[string][]net.Conn{},
	}
	links.keys.Store(config.Keys)
	return links
}

// UseKeys takes new keys into force: new connections use them, those that stand go on.
func (links *Links) UseKeys(keys *Keys) { links.keys.Store(keys) }

// SetAllowed takes new address sets into force, for new connections.
func (links *Links) SetAllowed(set *netipx.IPSet) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.allowed = set
}

func (links *Links) isAllowed(address netip.Addr) bool {
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.allowed.Contains(address.Unmap())
}

// Run accepts and dials until the context ends.
func (links *Links) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	links.mu.Lock()
	links.running, links.group = ctx, group
	for _, link := range links.outgoing {
		links.start(link)
	}
	links.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { closeConn(links.config.Listener) })
	defer stop()
	group.Go(func() error { return links.accept(ctx) })
	<-ctx.Done()
	return group.Wait()
}

// SetPeers has links to these names, by address, and to no others.
func (links *Links) SetPeers(peers map[string]string) {
	links.mu.Lock()
	defer links.mu.Unlock()
	for name, link := range links.outgoing {
		if peers[name] != link.address {
			link.stop()
			delete(links.outgoing, name)
		}
	}
	for name, address := range peers {
		if links.outgoing[name] != nil {
			continue
		}
		link := newOutgoing(name, address)
		links.outgoing[name] = link
		if links.group != nil {
			links.start(link)
		}
	}
}

// start runs a link to a peer; the lock is held.
func (links *Links) start(link *outgoing) {
	if links.running.Err() != nil || link.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(links.running)
	link.cancel = cancel
	links.group.Go(func() error {
		defer cancel()
		links.keepConnected(ctx, link)
		return nil
	})
}

// Send queues a payload for a peer. It never waits; a full queue loses its oldest frame.
func (links *Links) Send(name string, payload []byte) {
	links.mu.Lock()
	link := links.outgoing[name]
	links.mu.Unlock()
	if link != nil && len(payload) <= MaxFrameSize {
		link.enqueue(payload)
	}
}

// Dropped is how many frames were lost from the queues of the links there are.
func (links *Links) Dropped() uint64 {
	dropped, _ := links.queueTotals()
	return dropped
}

// Flush waits until all queues are empty, or the time is up.
func (links *Links) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(flushInterval) {
		if _, queued := links.queueTotals(); queued == 0 {
			return
		}
	}
}

// queueTotals sums the queues of all links.
func (links *Links) queueTotals() (dropped uint64, queued int) {
	links.mu.Lock()
	defer links.mu.Unlock()
	for _, link := range links.outgoing {
		link.mu.Lock()
		dropped += link.dropped
		queued += len(link.queue)
		link.mu.Unlock()
	}
	return dropped, queued
}

// closer is a connection or listener.
type closer interface{ Close() error }

// closeConn closes what is given up: that it could not be closed cleanly changes nothing.
func closeConn(conn closer) { _ = conn.Close() }
