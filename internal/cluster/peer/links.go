// Package peer holds the links between instances: TCP with mutual TLS 1.3 (RFC 8446). Each instance dials its
// peers. It only sends on connections that it dialled and only reads from connections that it accepted. So the
// certificates of the two sides authenticate both the receiver and the sender of each message.
//
// Sending never waits for a slow peer. Each peer has a bounded queue, which drops its oldest frame when it is full.
// Callers must send a message again if they need it and it may have been lost.
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

// Limits and durations of links.
const (
	maxQueue      = 64 // frames waiting for one peer
	maxHandshakes = 16 // at a time
	// maxAccepted bounds the accepted links. All other instances of the largest fleet may link to a voter, and link
	// to it again before their old links are detected as dead.
	maxAccepted      = 2048
	maxLinksPerName  = 3 // accepted links from one name; beyond it the oldest is closed
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	idleTimeout      = time.Minute // an accepted link without a frame for this long is closed
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	flushInterval    = 5 * time.Millisecond // between two checks in Flush
)

// Config is the configuration of Links.
type Config struct {
	Name        string // of this instance
	Incarnation uint64
	Listener    net.Listener
	Keys        *Keys
	Allow       *netipx.IPSet // addresses with which links are allowed

	// Receive handles a payload. While it blocks, no more frames are read from that link.
	Receive func(name string, incarnation uint64, payload []byte)
	Log     func(logevent.Event)
}

// Links holds all links of one instance. It is safe for concurrent use.
type Links struct {
	config     Config
	keys       keyHolder
	refusals   refusals
	handshakes chan struct{} // holds one element for each handshake under way

	mu       sync.Mutex
	allowed  *netipx.IPSet
	outgoing map[string]*outgoing  // by name
	incoming map[string][]net.Conn // by name, the oldest first
	accepted int
	running  context.Context // the context of Run, with which all outgoing links end
	group    *errgroup.Group // nil before Run
}

// New returns links that do not run yet.
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

// UseKeys replaces the keys. New connections use them; open connections are left alone.
func (links *Links) UseKeys(keys *Keys) { links.keys.Store(keys) }

// SetAllowed replaces the allowed addresses for new connections.
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

// Run accepts and dials links until the context ends.
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

// SetPeers opens links to the given peers, a map from name to address, and closes the links to all others.
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

// start starts a link to a peer, unless it runs already or Run has ended. The caller holds mu.
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

// Send queues a payload for a peer and never blocks. A full queue drops its oldest frame. Payloads for unknown peers
// or larger than MaxFrameSize are dropped.
func (links *Links) Send(name string, payload []byte) {
	links.mu.Lock()
	link := links.outgoing[name]
	links.mu.Unlock()
	if link != nil && len(payload) <= MaxFrameSize {
		link.enqueue(payload)
	}
}

// Dropped returns how many frames the queues of the current peers have dropped.
func (links *Links) Dropped() uint64 {
	dropped, _ := links.queueTotals()
	return dropped
}

// Flush waits until all queues are empty, at most for the timeout.
func (links *Links) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(flushInterval) {
		if _, queued := links.queueTotals(); queued == 0 {
			return
		}
	}
}

// queueTotals returns the numbers of dropped and of queued frames over all outgoing links.
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

// closer is a connection or a listener.
type closer interface{ Close() error }

// closeConn closes a connection or listener that is no longer used, so an error of Close has no consequence.
func closeConn(conn closer) { _ = conn.Close() }
