package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"tealpath/internal/logevent"
)

// accept accepts connections from other instances, and starts a goroutine for each admitted one, until the context
// ends. It returns an error if the listener is closed before that.
func (links *Links) accept(ctx context.Context) error {
	for {
		conn, err := links.config.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept links from other instances: %w", err)
		case err != nil:
			links.refusals.log(func(times int) logevent.Event { return AcceptFailed{Cause: err, Times: times} })
			time.Sleep(minBackoff)
			continue
		}
		from, admitted := links.admit(conn)
		if !admitted {
			closeConn(conn)
			continue
		}
		links.addAccepted(1)
		links.group.Go(func() error {
			defer links.addAccepted(-1)
			links.serve(ctx, conn, from)
			return nil
		})
	}
}

// admit reports whether a connection may start the TLS handshake. If it may, admit has reserved one of maxHandshakes
// for it, which the caller must free. If not, it has logged the reason.
func (links *Links) admit(conn net.Conn) (from netip.Addr, admitted bool) {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	from = remote.Addr()
	links.mu.Lock()
	full := links.accepted >= maxAccepted
	links.mu.Unlock()
	switch {
	case err != nil || !links.isAllowed(from):
		links.refusals.log(func(times int) logevent.Event {
			return AddressRefused{Address: from.String(), Times: times}
		})
		return from, false
	case full:
		links.refusals.log(func(times int) logevent.Event {
			return LinkLimitReached{Address: from.String(), Limit: maxAccepted, Times: times}
		})
		return from, false
	}
	select {
	case links.handshakes <- struct{}{}:
		return from, true
	default:
		// The connection is closed and not queued. In a flood of connections, a queue would delay the links of other
		// instances for longer than a handshake takes.
		links.refusals.log(func(times int) logevent.Event {
			return HandshakeLimitReached{Address: from.String(), Limit: maxHandshakes, Times: times}
		})
		return from, false
	}
}

func (links *Links) addAccepted(change int) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.accepted += change
}

// serve handles an accepted connection: it does the handshake and then passes on the received messages, until the
// connection or the context ends. It closes the connection.
func (links *Links) serve(ctx context.Context, raw net.Conn, from netip.Addr) {
	conn := tls.Server(raw, links.keys.serverConfig())
	defer closeConn(raw)
	stop := context.AfterFunc(ctx, func() { closeConn(raw) })
	defer stop()
	sender, err := links.handshake(ctx, conn)
	<-links.handshakes
	if err != nil {
		if ctx.Err() == nil {
			links.refusals.log(func(times int) logevent.Event {
				return HandshakeRefused{Address: from.String(), Cause: err, Times: times}
			})
		}
		return
	}
	links.addIncoming(sender.Name, raw)
	defer links.removeIncoming(sender.Name, raw)
	err = links.readFrames(conn, sender)
	if errors.Is(err, ErrMalformedFrame) && ctx.Err() == nil {
		links.refusals.log(func(times int) logevent.Event {
			return ProtocolViolation{Member: sender.Name, Cause: err, Times: times}
		})
	}
}

// handshake does the TLS handshake, reads the hello and checks that the peer's certificate is valid for the name in
// the hello. It returns an error if this takes longer than handshakeTimeout.
func (links *Links) handshake(ctx context.Context, conn *tls.Conn) (hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	if err := conn.HandshakeContext(ctx); err != nil {
		return hello{}, err
	}
	sender, err := readHello(conn)
	if err != nil {
		return hello{}, err
	}
	if err := verifyName(conn.ConnectionState(), sender.Name); err != nil {
		return hello{}, err
	}
	return sender, conn.SetDeadline(time.Time{})
}

// readFrames passes the payloads of received frames to Config.Receive until the connection ends or nothing arrives for
// idleTimeout.
func (links *Links) readFrames(conn net.Conn, sender hello) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		payload, err := readFrame(conn, MaxFrameSize)
		if err != nil {
			return err
		}
		links.config.Receive(sender.Name, sender.Incarnation, payload)
	}
}

// addIncoming adds an accepted connection of the instance with this name. If there are now more than maxLinksPerName,
// it closes the oldest.
func (links *Links) addIncoming(name string, conn net.Conn) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.incoming[name] = append(links.incoming[name], conn)
	if len(links.incoming[name]) > maxLinksPerName {
		closeConn(links.incoming[name][0])
	}
}

func (links *Links) removeIncoming(name string, conn net.Conn) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.incoming[name] = slices.DeleteFunc(links.incoming[name], func(other net.Conn) bool { return other == conn })
	if len(links.incoming[name]) == 0 {
		delete(links.incoming, name)
	}
}
