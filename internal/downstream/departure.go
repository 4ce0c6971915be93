package downstream

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

const (
	// memoryWait is for how long a large request waits for memory before it is refused. Nothing is sent on 0.1 s after its client
	// has closed, or has cancelled it, and neither is seen while this waits.
	memoryWait = 50 * time.Millisecond

	// endLook is how long a read of what is thrown away takes at most before it is asked whether it is still needed.
	endLook = 20 * time.Millisecond
)

// tellHalfClosed tells that the client has closed its side, if it has something open. It may have gone, or read on: what is in
// flight is answered, what still waits is not sent for nobody.
func (c *client) tellHalfClosed() {
	c.mu.Lock()
	open := len(c.open) > 0
	c.mu.Unlock()
	if open {
		c.front.post(router.ClientHalfClosed{Client: c.id})
	}
}

// awaitEnd looks for the end of a client that is not read any more, though it has requests open, until all is written: what it
// sends is thrown away, at a bounded pace.
func (c *client) awaitEnd(written <-chan struct{}) {
	for {
		select {
		case <-written:
			return
		case <-time.After(lingerGap):
		}
		c.conn.SetReadDeadline(time.Now().Add(endLook))
		_, err := io.CopyN(io.Discard, neterr.Reader{From: c.conn}, lingerBytes)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			c.tellHalfClosed()
			return
		case endsReading(err):
			return // it proves nothing: what is open is answered all the same
		default:
			c.mu.Lock()
			clear(c.open) // the client has gone
			c.mu.Unlock()
			c.conn.Close()
			c.signal()
			return
		}
	}
}

// refuse refuses a large request for which there is no memory: its first bytes tell which one it is, the rest is thrown away.
func (c *client) refuse(in *bufio.Reader, head []byte, size int) error {
	m, err := thrift.Parse(head)
	if err != nil {
		return err
	}
	if m.Type == thrift.Call && m.Name == "call" {
		refused := refusedAnswer(m.Seq)
		switch c.enter(m.Seq) {
		case entered:
			c.answer(refused)
		case tooMany:
			c.send(refused)
		case inUse:
			c.send(thrift.Answer{Method: m.Name, Seq: m.Seq, Fault: thrift.BadSequence, Text: "sequence number in use"})
			c.offend()
			return nil
		case tooLate:
			c.send(refused)
			return errShut
		}
	}
	c.conn.SetReadDeadline(time.Now().Add(frameMost))
	_, err = io.CopyN(io.Discard, in, int64(size-len(head)))
	return err
}
