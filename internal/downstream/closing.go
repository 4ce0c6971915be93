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
	// lingerTimeout is how long a client may take, after the server has closed its sending side, to read its last
	// responses and to close its own side.
	lingerTimeout = 2 * time.Second

	// closeNotifyTimeout replaces lingerTimeout for a client that waits for no response: it only has to see the end of
	// the stream.
	closeNotifyTimeout = 200 * time.Millisecond

	// lingerInterval is the pause between two reads whose data is discarded, and lingerReadBytes is the maximum number
	// of bytes of such a read. After maxLingerReads reads, which are enough for what a client sent before it read its
	// last response, the pause is sustainedLingerInterval. They limit the processor time for a client that never stops
	// sending: hundreds of such clients would otherwise take it from all others.
	lingerInterval          = time.Millisecond
	lingerReadBytes         = 32 << 10
	maxLingerReads          = 16
	sustainedLingerInterval = 20 * time.Millisecond

	// peerCloseCheckInterval is the maximum duration of a read in awaitPeerClose, which discards the data and checks
	// after each read whether all responses are written.
	peerCloseCheckInterval = 20 * time.Millisecond
)

// notifyHalfClosed posts ClientHalfClosed if the client, which has closed its sending side, has a request in flight and
// this has not been posted yet.
// The client may have disconnected, or it may still be reading: the router answers attempts in flight and starts no
// further ones.
func (c *connection) notifyHalfClosed() {
	c.mu.Lock()
	mustPost := len(c.inFlight) > 0 && !c.departed
	c.mu.Unlock()
	if mustPost {
		c.server.post(router.ClientHalfClosed{Client: c.id}, nil)
	}
}

// awaitPeerClose discards data from the client, at a limited rate, until all responses are written, the client closes
// its side or a read fails. If the client closes its side, ClientHalfClosed is posted; if the connection has ended,
// the client's requests are dropped. It is used once no more requests are read from the client.
func (c *connection) awaitPeerClose(written <-chan struct{}) {
	for reads := 0; ; reads++ {
		select {
		case <-written:
			return
		case <-time.After(lingerPause(reads)):
		}
		setReadDeadline(c.conn, time.Now().Add(peerCloseCheckInterval))
		err := c.discard()
		switch {
		case err == nil && c.server.peerClosed(c.conn):
			c.notifyHalfClosed()
			return
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

// discard reads up to lingerReadBytes from the client and drops them. It returns nil if that many were read.
func (c *connection) discard() error {
	_, err := io.CopyN(io.Discard, neterr.Reader{From: c.conn}, lingerReadBytes)
	return err
}

// dropRequests closes the connection of a client that has disconnected, and removes the client's requests in flight,
// so that responses to them are discarded.
func (c *connection) dropRequests() {
	c.mu.Lock()
	clear(c.inFlight)
	c.mu.Unlock()
	neterr.Close(c.conn)
	c.signalWriter()
}

// linger closes the sending side of the connection and gives the client lingerTimeout, or closeNotifyTimeout if the
// connection is draining, to read its last responses and close its side.
func (c *connection) linger() {
	c.mu.Lock()
	c.phase = phaseLingering
	c.updateTableState()
	c.mu.Unlock()
	timeout := lingerTimeout
	if c.isDraining() {
		timeout = closeNotifyTimeout
	}
	halfCloseAndDiscard(c.conn, timeout)
}

// lingerPause returns the pause after a number of reads whose data was discarded.
func lingerPause(reads int) time.Duration {
	if reads < maxLingerReads {
		return lingerInterval
	}
	return sustainedLingerInterval
}

// halfCloseAndDiscard closes the sending side of a connection and discards what the client still sends, until
// the client has closed its side or the timeout has passed. If the connection were closed with unread data, it
// would be reset, and the client would lose the responses that it has not read yet.
func halfCloseAndDiscard(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(timeout)
	for reads := 0; time.Now().Before(end); reads++ {
		setReadDeadline(conn, end)
		if _, err := io.CopyN(io.Discard, neterr.Reader{From: conn}, lingerReadBytes); err != nil {
			return
		}
		time.Sleep(lingerPause(reads))
	}
}
