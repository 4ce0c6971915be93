package downstream

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"strconv"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

const (
	// requestReadTimeout is for how long a request may take to come in full, from its first byte.
	requestReadTimeout = 2 * time.Second

	// smallFrameBytes is the size of a frame up to which it is read without a share of the memory for large
	// ones.
	smallFrameBytes = 4096

	// maxHeaderBytes is how many bytes of a frame are kept to tell which request it is.
	maxHeaderBytes = 64

	// frameLengthBytes is the size of the length at the start of a frame.
	frameLengthBytes = 4

	// maxMethodBytes is how much of an unknown method's name is repeated to the client.
	maxMethodBytes = 64
)

// The methods of the protocol.
const (
	methodCall   = "call"
	methodCancel = "cancel"
	methodHealth = "health"
)

// readRequests reads requests until the connection ends, is idle, or sends what cannot be parsed.
func (c *connection) readRequests(ctx context.Context) error {
	in := bufio.NewReaderSize(neterr.Reader{From: &c.arrivals}, smallFrameBytes)
	for {
		if err := c.awaitRequest(in); err != nil {
			return err
		}
		arrivedAt := c.arrivals.earliest // the first byte of a frame is among what was read last
		c.setReading(true)
		setReadDeadline(c.conn, time.Now().Add(requestReadTimeout))
		if err := c.checkReadable(in); err != nil {
			return err
		}
		if err := c.readRequest(ctx, in, arrivedAt); err != nil {
			return err
		}
		c.setReading(in.Buffered() > 0)
	}
}

// awaitRequest waits until the first byte of a request is there.
func (c *connection) awaitRequest(in *bufio.Reader) error {
	for {
		setReadDeadline(c.conn, c.nextReadDeadline())
		if err := c.checkReadable(in); err != nil {
			return err
		}
		_, err := in.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.isDraining() {
			return errDraining
		}
		if !c.isQuiescent() || c.server.hasUnread(c.conn) {
			continue
		}
		if err := c.idleTimeout(err); err != nil {
			return err
		}
	}
}

// checkReadable returns why no further request is to be read, or nil. It has to be called after the read
// deadline was set: a goroutine that ends the reading sets its flag first and then a deadline that has passed,
// which the reader may have overwritten.
func (c *connection) checkReadable(in *bufio.Reader) error {
	if c.hasViolated() {
		return errProtocolViolation
	}
	if c.isDraining() {
		return c.rejectBuffered(in)
	}
	return nil
}

// nextReadDeadline returns until when the next request is waited for. The wait is shorter for a client that has
// had no response, because it has sent no request or has cancelled all.
func (c *connection) nextReadDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.responded {
		// The table decides when an idle connection is closed; this is when it is suspended.
		return now.Add(time.Duration(c.server.suspendDelay()))
	}
	if first := c.acceptedAt.Add(firstRequestTimeout); now.Before(first) {
		return first
	}
	return now.Add(firstRequestTimeout / 10)
}

// idleTimeout decides what happens to an idle connection whose read deadline has passed: nil lets it wait
// on, until the table closes it.
func (c *connection) idleTimeout(timeout error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		return errDraining
	case !c.responded:
		return timeout
	case !c.server.idle.canSuspend() || !c.quiescent() || c.violated:
		return nil
	}
	c.phase, c.reading = phaseSuspending, false
	c.updateTableState()
	return errSuspend
}

// readRequest reads a frame and handles it. arrivedAt is the earliest time at which its first byte can have
// come, ns.
func (c *connection) readRequest(ctx context.Context, in *bufio.Reader, arrivedAt int64) error {
	frame, err := c.readFrame(ctx, in)
	if err != nil || frame == nil {
		return err
	}
	message, err := thrift.Parse(frame)
	if err != nil {
		return err
	}
	if !c.handleMessage(message, arrivedAt) {
		return c.rejectBuffered(in)
	}
	return nil
}

// readFrame reads a frame. Memory for a large one is acquired only once its start has come: a client that merely
// announces large frames takes none of it. Where there is no memory for it the request is
// rejected, and nil returned.
func (c *connection) readFrame(ctx context.Context, in *bufio.Reader) ([]byte, error) {
	size, err := thrift.FrameSize(in)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, min(size, smallFrameBytes))
	if _, err := io.ReadFull(in, frame); err != nil || size <= smallFrameBytes {
		return frame, err
	}
	if !c.server.memory.acquireRequest(ctx, size) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, c.rejectLarge(in, frame, size)
	}
	defer c.server.memory.releaseRequest(size)
	frame = append(make([]byte, 0, size), frame...)[:size]
	_, err = io.ReadFull(in, frame[smallFrameBytes:])
	return frame, err
}

// handleMessage handles a message, and returns false if it came too late: the connection is draining. A
// message that the protocol does not allow is answered with an exception, and nothing more is read from its
// client.
func (c *connection) handleMessage(message thrift.Message, arrivedAt int64) bool {
	if c.isDraining() {
		if isRequest(message) {
			c.send(rejection(message.Seq))
		}
		return false
	}
	if message.Type != thrift.Call && message.Type != thrift.Oneway {
		c.sendException(message, thrift.InvalidType, "not a call")
		return true
	}
	arguments, err := thrift.ParseArguments(message.Body)
	switch {
	case message.Name == methodCancel:
		if err == nil && arguments.Has[thrift.FirstArgument] && c.removeRequest(arguments.Number) {
			c.server.post(router.RequestCancelled{Client: c.id, Seq: arguments.Number})
		}
	case message.Type == thrift.Oneway: // unknown: one-way messages have no response
	case message.Name != methodCall && message.Name != methodHealth:
		name := message.Name[:min(len(message.Name), maxMethodBytes)]
		c.sendException(message, thrift.UnknownMethod, "unknown method "+strconv.QuoteToASCII(name))
	case err != nil:
		c.sendException(message, thrift.ProtocolError, err.Error())
	case message.Name == methodHealth:
		c.send(thrift.Response{Method: methodHealth, Seq: message.Seq, Good: c.server.ready.Load()})
	default:
		return c.handleCall(message, arguments, arrivedAt)
	}
	return true
}

// handleCall puts a request in flight and posts it, or rejects it. It returns false if the connection is
// draining.
func (c *connection) handleCall(message thrift.Message, arguments thrift.Arguments, arrivedAt int64) bool {
	switch c.addRequest(message.Seq) {
	case requestAdmitted:
		c.server.post(requestReceived(c.id, message.Seq, arrivedAt, arguments))
	case requestDuplicate:
		c.sendException(message, thrift.BadSequence, duplicateSequence)
	case requestExcess:
		c.send(rejection(message.Seq))
	case requestTooLate:
		c.send(rejection(message.Seq))
		return false
	}
	return true
}

// requestReceived returns the event for a request.
func requestReceived(
	client router.ClientID, seq int32, arrivedAt int64, arguments thrift.Arguments,
) router.RequestReceived {
	request, err := router.DecodeRequest(arguments.Fields, arguments.Body)
	return router.RequestReceived{
		Client:      client,
		Seq:         seq,
		ArrivedAt:   arrivedAt,
		Request:     request,
		DecodeError: err,
	}
}

// duplicateSequence is the text of the exception for a request with a sequence number that is in flight.
const duplicateSequence = "sequence number in use"

// sendException answers a message that the protocol does not allow, and ends the reading from its client.
func (c *connection) sendException(m thrift.Message, kind int, text string) {
	c.send(thrift.Response{Method: m.Name, Seq: m.Seq, ExceptionKind: kind, ExceptionText: text})
	c.closeForProtocolViolation()
}

// rejectBuffered rejects the requests that have been read from a connection that is draining: its client
// sees the end behind the rejections, and sends elsewhere only what it has no response to. It returns the
// error that ends the reading.
func (c *connection) rejectBuffered(in *bufio.Reader) error {
	for hasBufferedFrame(in) {
		m, err := readHeader(in)
		if err != nil {
			break
		}
		if isRequest(m) {
			c.send(rejection(m.Seq))
		}
	}
	return errDraining
}

// hasBufferedFrame tells whether a complete frame is buffered, so that reading it takes nothing from the
// connection.
func hasBufferedFrame(in *bufio.Reader) bool {
	if in.Buffered() < frameLengthBytes {
		return false
	}
	length, err := in.Peek(frameLengthBytes)
	return err == nil && int64(binary.BigEndian.Uint32(length)) <= int64(in.Buffered()-frameLengthBytes)
}

// readHeader reads a frame and parses its start, from which it tells the message's name, type and sequence
// number.
func readHeader(in *bufio.Reader) (thrift.Message, error) {
	size, err := thrift.FrameSize(in)
	if err != nil {
		return thrift.Message{}, err
	}
	header := make([]byte, min(size, maxHeaderBytes))
	if _, err := io.ReadFull(in, header); err != nil {
		return thrift.Message{}, err
	}
	if _, err := in.Discard(size - len(header)); err != nil {
		return thrift.Message{}, err
	}
	return thrift.Parse(header)
}

// isRequest tells whether a message is a request, which has to get a response of its own.
func isRequest(m thrift.Message) bool { return m.Type == thrift.Call && m.Name == methodCall }
