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

// These limits apply to the links of one instance.
const (
	maxQueue      = 64 // frames that wait to be sent to one peer; beyond it the oldest is dropped
	maxHandshakes = 16 // handshakes of accepted connections under way at a time
	// maxAccepted is the largest number of accepted connections. In the largest fleet all other instances may link to
	// a voter, and may link again before the voter detects that their old links are dead.
	maxAccepted      = 2048
	maxLinksPerName  = 3 // accepted connections of one instance; beyond it the oldest is closed
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	idleTimeout      = time.Minute // an accepted connection without a frame for this long is closed
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	flushInterval    = 5 * time.Millisecond // pause between two checks by Flush whether the queues are empty
)

// Config is the configuration of the links of one instance.
type Config struct {
	Name        string // name of this instance, for which its certificate must be valid
	Incarnation uint64
	Listener    net.Listener
	Keys        *Keys
	Allow       *netipx.IPSet // addresses that may be dialled and accepted

	// Receive is called with each payload that arrives and with the name and incarnation of its sender. It is called
	// from several goroutines. While it blocks, no more frames are read from that sender's connection.
	Receive func(name string, incarnation uint64, payload []byte)
	Log     func(logevent.Event)
}

// Links holds the dialled and accepted connections between this instance and others. It is safe for concurrent use.
type Links struct {
	config     Config
	keys       keyHolder
	refusals   refusals
	handshakes chan struct{} // has one element for each handshake of an accepted connection under way

	mu       sync.Mutex
	allowed  *netipx.IPSet
	outgoing map[string]*outgoing  // by the peer's name: the link that this instance dials
	incoming map[string][]net.Conn // by the peer's name: accepted connections, the oldest first
	accepted int
	running  context.Context // context of Run; when it ends, so do all links; nil before Run
	group    *errgroup.Group // goroutines that Run waits for; nil before Run
}

// New returns links that neither dial nor accept connections until Run is called.
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

// UseKeys replaces the keys for new connections. Open connections continue with the old keys.
func (links *Links) UseKeys(keys *Keys) { links.keys.Store(keys) }

// SetAllowed replaces the addresses that may be dialled and accepted. Open connections stay open even if their address
// is no longer allowed.
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

// Run accepts connections and dials the peers until the context ends or accepting fails. It closes the listener and
// all connections before it returns.
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

// SetPeers dials the given peers, a map from name to address, and closes the dialled links to all others and to those
// whose address has changed. Frames queued for a closed link are lost.
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

// start starts to dial a peer, unless it has been started already or Run has ended. The caller holds mu.
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

// Send queues a payload for a peer and never blocks. It drops the payload if the peer is unknown or the payload is
// larger than MaxFrameSize. If the queue is full, it drops the oldest frame.
func (links *Links) Send(name string, payload []byte) {
	links.mu.Lock()
	link := links.outgoing[name]
	links.mu.Unlock()
	if link != nil && len(payload) <= MaxFrameSize {
		link.enqueue(payload)
	}
}

// Dropped returns how many frames were dropped because the queue of a peer was full, for the peers of the last
// SetPeers.
func (links *Links) Dropped() uint64 {
	dropped, _ := links.queueTotals()
	return dropped
}

// Flush returns when all queues are empty, or after the timeout.
func (links *Links) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(flushInterval) {
		if _, queued := links.queueTotals(); queued == 0 {
			return
		}
	}
}

// queueTotals returns how many frames the queues of all peers have dropped, and how many they hold.
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
