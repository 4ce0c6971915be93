package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"tealpath/internal/logevent"

	"github.com/fxamacker/cbor/v2"
)

// outgoing is the link that this instance dials to one peer, with the payloads that wait to be sent.
type outgoing struct {
	name, address string
	cancel        context.CancelFunc // ends the link; nil before it was started
	wake          chan struct{}      // has an element if payloads may have been queued since the last wake-up

	mu      sync.Mutex
	queue   [][]byte
	dropped uint64
}

func newOutgoing(name, address string) *outgoing {
	return &outgoing{name: name, address: address, wake: make(chan struct{}, 1)}
}

func (link *outgoing) stop() {
	if link.cancel != nil {
		link.cancel()
	}
}

// enqueue adds a payload to the queue. If the queue already has maxQueue payloads, it drops the oldest one.
func (link *outgoing) enqueue(payload []byte) {
	link.mu.Lock()
	if len(link.queue) >= maxQueue {
		link.queue = append(link.queue[:0], link.queue[1:]...)
		link.dropped++
	}
	link.queue = append(link.queue, payload)
	link.mu.Unlock()
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// takeFrames empties the queue and returns its payloads as consecutive frames, or nil if there are none.
func (link *outgoing) takeFrames() []byte {
	link.mu.Lock()
	payloads := link.queue
	link.queue = nil
	link.mu.Unlock()
	var frames []byte
	for _, payload := range payloads {
		frames = appendFrame(frames, payload)
	}
	return frames
}

// keepConnected dials a peer and sends the queued frames until the context ends. When the connection fails or ends, it
// dials again after a backoff with jitter.
func (links *Links) keepConnected(ctx context.Context, link *outgoing) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		started, up := time.Now(), false
		err := links.connect(ctx, link, func() {
			up = true
			links.config.Log(Connected{Member: link.name})
		})
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		if up {
			links.config.Log(Disconnected{Member: link.name, Cause: err})
		} else {
			links.refusals.logForMember(link.name, func(times int) logevent.Event {
				return ConnectFailed{Member: link.name, Cause: err, Times: times}
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.Int64N(int64(backoff))) + backoff/2):
		}
	}
}

// connect dials a peer, sends the hello and then the queued frames until the connection or the context ends, and
// returns the reason. It calls onUp after it has written the first queued frames.
func (links *Links) connect(ctx context.Context, link *outgoing, onUp func()) error {
	address, err := netip.ParseAddrPort(link.address)
	if err != nil || !links.isAllowed(address.Addr()) {
		return fmt.Errorf("address %q of the peer is not an IP address and port in the allowed sets", link.address)
	}
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: links.keys.clientConfig(link.name)}
	conn, err := dialer.DialContext(handshake, "tcp", link.address)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if err := links.writeHello(conn); err != nil {
		return err
	}
	ended, wait := watchEnd(conn)
	defer wait()
	defer closeConn(conn) // this runs before wait, which would block on an open connection
	return writeQueue(ctx, conn, link, ended, onUp)
}

// writeHello sends the hello, which tells the peer this instance's name, incarnation and protocol version.
func (links *Links) writeHello(conn net.Conn) error {
	raw, err := cbor.Marshal(hello{ProtocolVersion, links.config.Name, links.config.Incarnation})
	if err != nil {
		return err
	}
	return write(conn, appendFrame(nil, raw))
}

// watchEnd reads from a dialled connection, on which the peer sends nothing, to detect its end. With TLS 1.3, the read
// also returns the peer's refusal of this instance's certificate. The channel gets the error with which the connection
// ended. wait returns when the reading goroutine has ended, which it does only after the connection is closed.
func watchEnd(conn net.Conn) (ended <-chan error, wait func()) {
	result, done := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(done)
		_, err := conn.Read(make([]byte, 1))
		if err == nil {
			err = fmt.Errorf("%w: the peer sent data on a link that only carries frames to it", ErrMalformedFrame)
		}
		result <- err
	}()
	return result, func() { <-done }
}

// writeQueue writes the queued frames, and those queued later, until the connection or the context ends. It calls onUp
// after the first write.
func writeQueue(ctx context.Context, conn net.Conn, link *outgoing, ended <-chan error, onUp func()) error {
	up := false
	for {
		if frames := link.takeFrames(); len(frames) > 0 {
			if err := write(conn, frames); err != nil {
				return err
			}
			if !up {
				up = true
				onUp()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return err
		case <-link.wake:
		}
	}
}

func write(conn net.Conn, frames []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frames)
	return err
}
