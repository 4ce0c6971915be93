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

// outgoing is the link to one peer.
type outgoing struct {
	name, address string
	cancel        context.CancelFunc // nil before it runs
	wake          chan struct{}      // the queue may hold something

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

// enqueue adds a payload, and drops the oldest if there are too many.
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

// takeFrames takes all that is queued, as frames.
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

// keepConnected keeps a link to a peer: it connects again after a backoff with jitter.
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
			links.refusals.logOf(link.name, func(times int) logevent.Event {
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

// connect connects, says who this is and writes the queue until the link ends; onUp is called at the first
// frame written.
func (links *Links) connect(ctx context.Context, link *outgoing, onUp func()) error {
	address, err := netip.ParseAddrPort(link.address)
	if err != nil || !links.isAllowed(address.Addr()) {
		return fmt.Errorf("its address %s is outside the allowed sets", link.address)
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
	defer closeConn(conn) // before the wait
	return writeQueue(ctx, conn, link, ended, onUp)
}

// writeHello says who this is.
func (links *Links) writeHello(conn net.Conn) error {
	raw, err := cbor.Marshal(hello{ProtocolVersion, links.config.Name, links.config.Incarnation})
	if err != nil {
		return err
	}
	return write(conn, appendFrame(nil, raw))
}

// watchEnd reads what comes by a dialled connection: nothing does but an end, with TLS 1.3 also the refusal
// of our certificate. wait returns once the reading is over, for which the connection must be closed.
func watchEnd(conn net.Conn) (ended <-chan error, wait func()) {
	result, done := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(done)
		_, err := conn.Read(make([]byte, 1))
		if err == nil {
			err = fmt.Errorf("%w: bytes where none belong", ErrMalformedFrame)
		}
		result <- err
	}()
	return result, func() { <-done }
}

// writeQueue writes what is queued until the connection ends.
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
