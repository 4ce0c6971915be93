package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/router"
)

const (
	// lingerTimeout is for how long a client may take to read its last responses and close its side.
	lingerTimeout = 2 * time.Second

	// closeNotifyTimeout is lingerTimeout for a client without outstanding responses, which only has to see
	// the end.
	closeNotifyTimeout = 200 * time.Millisecond

	// lingerInterval is the pause between two reads of what is discarded, and lingerReadBytes the most that
	// one of them reads: a client that sends without end takes little processor time.
	lingerInterval  = time.Millisecond
	lingerReadBytes = 32 << 10

	// peerCloseCheckInterval is how long a read of what is discarded takes at most before the writer is
	// looked at again.
	peerCloseCheckInterval = 20 * time.Millisecond
)

// notifyHalfClosed posts that the client has closed its sending side, if it has a request in flight. It may
// have disconnected, or still read: attempts in flight are answered, and no further one is made.
func (c *connection) notifyHalfClosed() {
	c.mu.Lock()
	inFlight := len(c.inFlight) > 0
	c.mu.Unlock()
	if inFlight {
		c.server.post(router.ClientHalfClosed{Client: c.id})
	}
}

// awaitPeerClose watches for the close of a client whose requests are not read any more, until all
// responses are written. What the client sends is discarded at a bounded pace.
func (c *connection) awaitPeerClose(written <-chan struct{}) {
	for {
		select {
		case <-written:
			return
		case <-time.After(lingerInterval):
		}
		setReadDeadline(c.conn, time.Now().Add(peerCloseCheckInterval))
		err := c.discard()
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			c.notifyHalfClosed()
			return
		case mayStillRead(err):
			return
		default:
			c.dropRequests()
			return
		}
	}
}

// discard reads and drops up to lingerReadBytes of what the client sends.
func (c *connection) discard() error {
	_, err := io.CopyN(io.Discard, neterr.Reader{From: c.conn}, lingerReadBytes)
	return err
}

// dropRequests drops the requests of a client that has disconnected, and closes its connection.
func (c *connection) dropRequests() {
	c.mu.Lock()
	clear(c.inFlight)
	c.mu.Unlock()
	neterr.Close(c.conn)
	c.signalWriter()
}

// linger closes the sending side and lets the client read its last responses.
func (c *connection) linger() {
	c.mu.Lock()
	c.phase = phaseLingering
	c.updateTableState()
	c.mu.Unlock()
	timeout := lingerTimeout
	if c.isDraining() {
		timeout = closeNotifyTimeout
	}
	lingerOn(c.conn, timeout)
}

// lingerOn closes the sending side of a connection and discards what still comes, until the client has
// closed too or time is up. A connection that is closed with unread data is reset, and with that the client
// loses the responses that it has not read.
func lingerOn(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(lingerInterval) {
		setReadDeadline(conn, end)
		if _, err := io.CopyN(io.Discard, neterr.Reader{From: conn}, lingerReadBytes); err != nil {
			return
		}
	}
}
