// Package peer holds the links between instances: TCP with mutual TLS 1.3. Each instance dials every other and sends
// on what it dialled; what is accepted is read only. So whoever gets a message sent it is proved by the dialled
// address's certificate, and whoever it came from by the accepted one's.
//
// Nothing here waits for a slow peer: each has a bounded queue, which loses its oldest frames. What is lost is sent
// again by those who need it.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go4.org/netipx"
	"golang.org/x/sync/errgroup"
)

// Bounds and times of links.
const (
	queueMost     = 64 // frames waiting for one peer
	shakeWithin   = 2 * time.Second
	shakeMost     = 16   // handshakes at a time
	acceptedMost  = 2048 // to a voter all others may come, 1,024 and more, also again before the links before are known to be dead
	sameMost      = 3    // accepted links from one name; the oldest ends
	writeWithin   = 2 * time.Second
	quietMost     = time.Minute // without a frame on an accepted link
	backOffFirst  = 50 * time.Millisecond
	backOffMost   = 2 * time.Second
	complainEvery = 10 * time.Second
)

// Config is what links go by.
type Config struct {
	Name        string
	Incarnation uint64
	Listener    net.Listener
	Keys        *Keys
	Allow       *netipx.IPSet
	Receive     func(name string, incarnation uint64, payload []byte) // may wait
	Log         func(line, peer, why string)
}

// Links is all links of one instance.
type Links struct {
	config Config
	keys   holder
	shakes chan struct{}

	mu       sync.Mutex
	out      map[string]*outgoing
	in       map[string][]*incoming
	accepted int
	complain map[string]*complaint
	ctx      context.Context
	group    *errgroup.Group
}

type outgoing struct {
	name, address string
	cancel        context.CancelFunc
	wake          chan struct{}
	mu            sync.Mutex
	queue         [][]byte
	lost          uint64
}

type incoming struct {
	conn net.Conn
}

// complaint bounds how often one kind of refusal is logged.
type complaint struct {
	last  time.Time
	times int
}

// New makes links that do not run yet.
func New(c Config) *Links {
	l := &Links{
		config: c, shakes: make(chan struct{}, shakeMost), out: map[string]*outgoing{}, in: map[string][]*incoming{},
		complain: map[string]*complaint{},
	}
	l.keys.Store(c.Keys)
	return l
}

// UseKeys takes new keys into force: new connections use them, those that stand go on.
func (l *Links) UseKeys(k *Keys) { l.keys.Store(k) }

// SetAllowed takes new address sets into force, for new connections.
func (l *Links) SetAllowed(set *netipx.IPSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Allow = set
}

func (l *Links) allows(a netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.Allow.Contains(a.Unmap())
}

// Run accepts and dials until the context ends.
func (l *Links) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.ctx, l.group = ctx, group
	for _, o := range l.out {
		l.start(o)
	}
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.config.Listener.Close() })
	defer stop()
	group.Go(func() error { return l.accept(ctx) })
	<-ctx.Done()
	return group.Wait()
}

// SetPeers has links to these names and addresses, and to no others.
func (l *Links) SetPeers(peers map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, o := range l.out {
		if peers[name] != o.address {
			if o.cancel != nil {
				o.cancel()
			}
			delete(l.out, name)
		}
	}
	for name, address := range peers {
		if l.out[name] == nil {
			o := &outgoing{name: name, address: address, wake: make(chan struct{}, 1)}
			l.out[name] = o
			if l.group != nil {
				l.start(o)
			}
		}
	}
}

// start runs a link to a peer; the lock is held.
func (l *Links) start(o *outgoing) {
	if l.ctx.Err() != nil || o.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	o.cancel = cancel
	l.group.Go(func() error {
		defer cancel()
		l.dial(ctx, o)
		return nil
	})
}

// Send queues a payload for a peer. It never waits; a full queue loses its oldest frame.
func (l *Links) Send(name string, payload []byte) {
	l.mu.Lock()
	o := l.out[name]
	l.mu.Unlock()
	if o == nil || len(payload) > MaxFrameSize {
		return
	}
	o.mu.Lock()
	if len(o.queue) >= queueMost {
		o.queue = append(o.queue[:0], o.queue[1:]...)
		o.lost++
	}
	o.queue = append(o.queue, payload)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Dropped is how many frames were dropped from queues.
func (l *Links) Dropped() (n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.out {
		o.mu.Lock()
		n += o.lost
		o.mu.Unlock()
	}
	return n
}

// Flush waits until all queues are empty, or the time is up.
func (l *Links) Flush(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		waiting := 0
		l.mu.Lock()
		for _, o := range l.out {
			o.mu.Lock()
			waiting += len(o.queue)
			o.mu.Unlock()
		}
		l.mu.Unlock()
		if waiting == 0 {
			return
		}
	}
}

// dial keeps a link to a peer: it connects again after a time drawn from a growing span.
func (l *Links) dial(ctx context.Context, o *outgoing) {
	up := false
	for wait := backOffFirst; ctx.Err() == nil; {
		began := time.Now()
		err := l.hold(ctx, o, func() {
			if !up {
				l.config.Log("link stands", o.name, "")
			}
			up = true
		})
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > backOffMost {
			wait = backOffFirst
		}
		if up {
			l.config.Log("link lost", o.name, err.Error())
		} else {
			l.refuse("no link to "+o.name, o.name, err)
		}
		up = false
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.Int64N(int64(wait))) + wait/2):
		}
		wait = min(2*wait, backOffMost)
	}
}

// hold connects, says who this is and writes the queue until the link ends.
func (l *Links) hold(ctx context.Context, o *outgoing, stands func()) error {
	if a, err := netip.ParseAddrPort(o.address); err != nil || !l.allows(a.Addr()) {
		return fmt.Errorf("its address %s is outside the allowed sets", o.address)
	}
	shaking, cancel := context.WithTimeout(ctx, shakeWithin)
	defer cancel()
	conn, err := (&tls.Dialer{Config: l.keys.client(o.name)}).DialContext(shaking, "tcp", o.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	raw, err := cbor.Marshal(hello{ProtocolVersion, l.config.Name, l.config.Incarnation})
	if err != nil {
		return err
	}
	if err := write(conn, appendFrame(nil, raw)); err != nil {
		return err
	}
	ended := make(chan error, 1)
	done := make(chan struct{})
	defer func() { <-done }()
	defer conn.Close()
	go func() {
		defer close(done)
		// Nothing comes this way but an end: with TLS 1.3 also the refusal of our certificate.
		_, err := conn.Read(make([]byte, 1))
		if err == nil {
			err = fmt.Errorf("%w: bytes where none belong", ErrMalformedFrame)
		}
		ended <- err
	}()
	said := false
	for {
		o.mu.Lock()
		batch := o.queue
		o.queue = nil
		o.mu.Unlock()
		var out []byte
		for _, payload := range batch {
			out = appendFrame(out, payload)
		}
		if len(out) > 0 {
			if err := write(conn, out); err != nil {
				return err
			}
			if !said {
				said = true
				stands()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return err
		case <-o.wake:
		}
	}
}

func write(conn net.Conn, out []byte) error {
	conn.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := conn.Write(out)
	return err
}

// accept takes links from others.
func (l *Links) accept(ctx context.Context) error {
	for {
		conn, err := l.config.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("links to instances: %w", err)
		case err != nil:
			l.refuse("links are not accepted", "", err)
			time.Sleep(backOffFirst)
			continue
		}
		from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		l.mu.Lock()
		full := l.accepted >= acceptedMost
		l.mu.Unlock()
		switch {
		case err != nil || !l.allows(from.Addr()):
			l.refuse("refused from outside the allowed sets", from.Addr().String(), errors.New("address"))
			conn.Close()
			continue
		case full:
			l.refuse("refused: too many links", from.Addr().String(), fmt.Errorf("%d are held", acceptedMost))
			conn.Close()
			continue
		}
		select {
		case l.shakes <- struct{}{}:
		default:
			// Who connects without end must not hold up those who belong here for longer than a handshake.
			l.refuse("refused: too many handshakes", from.Addr().String(), fmt.Errorf("%d are under way", shakeMost))
			conn.Close()
			continue
		}
		l.mu.Lock()
		l.accepted++
		l.mu.Unlock()
		l.group.Go(func() error {
			l.serve(ctx, conn, from.Addr())
			l.mu.Lock()
			l.accepted--
			l.mu.Unlock()
			return nil
		})
	}
}

// serve reads one accepted link until it ends.
func (l *Links) serve(ctx context.Context, raw net.Conn, from netip.Addr) {
	conn := tls.Server(raw, l.keys.server())
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(shakeWithin))
	h, err := l.welcome(ctx, conn)
	<-l.shakes
	if err != nil {
		if ctx.Err() == nil {
			l.refuse("refused a link", from.String(), err)
		}
		return
	}
	conn.SetDeadline(time.Time{})
	in := &incoming{conn: raw}
	l.enter(h.Name, in)
	defer l.leave(h.Name, in)
	for {
		conn.SetReadDeadline(time.Now().Add(quietMost))
		payload, err := readFrame(conn, MaxFrameSize)
		if errors.Is(err, ErrMalformedFrame) && ctx.Err() == nil {
			l.refuse("a link ended", h.Name, err)
		}
		if err != nil {
			return
		}
		l.config.Receive(h.Name, h.Incarnation, payload)
	}
}

// welcome shakes hands and reads who it is.
func (l *Links) welcome(ctx context.Context, conn *tls.Conn) (hello, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return hello{}, err
	}
	h, err := readHello(conn)
	if err != nil {
		return hello{}, err
	}
	if err := proves(conn.ConnectionState(), h.Name); err != nil {
		return hello{}, err
	}
	return h, nil
}

// enter bounds the links from one name.
func (l *Links) enter(name string, in *incoming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.in[name] = append(l.in[name], in)
	if len(l.in[name]) > sameMost {
		l.in[name][0].conn.Close()
	}
}

func (l *Links) leave(name string, in *incoming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.in[name][:0:0]
	for _, x := range l.in[name] {
		if x != in {
			left = append(left, x)
		}
	}
	if l.in[name] = left; len(left) == 0 {
		delete(l.in, name)
	}
}

// refuse logs what was refused, each kind at most once in a while, with how often.
func (l *Links) refuse(what, who string, why error) {
	l.mu.Lock()
	c := l.complain[what]
	if c == nil {
		if len(l.complain) > acceptedMost {
			clear(l.complain)
		}
		c = &complaint{}
		l.complain[what] = c
	}
	c.times++
	if time.Since(c.last) < complainEvery {
		l.mu.Unlock()
		return
	}
	times := c.times
	c.times, c.last = 0, time.Now()
	l.mu.Unlock()
	line := what
	if times > 1 {
		line = fmt.Sprintf("%s (%d times)", what, times)
	}
	l.config.Log(line, who, why.Error())
}
