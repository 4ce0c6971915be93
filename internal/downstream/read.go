package downstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"runtime"
	"strconv"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

const (
	// rejectingSuspendDelay is the time without data after which a connection that was resumed only for its requests to
	// be rejected is suspended again.
	rejectingSuspendDelay = 10 * time.Millisecond

	// maxSmallFrameBytes is the largest size of a frame that is read without reserving memory in memoryLimits.
	maxSmallFrameBytes = 4096

	// maxHeaderBytes is how many bytes at the start of a frame are kept to tell, when it is rejected, whether it is a
	// request and which one.
	maxHeaderBytes = 64

	// frameLengthBytes is the size of the length field at the start of a frame.
	frameLengthBytes = 4

	// maxMethodBytes is how many bytes of an unknown method's name are quoted in the exception that answers it.
	maxMethodBytes = 64
)

// Names of the methods that clients call.
const (
	methodCall   = "call"
	methodCancel = "cancel"
	methodHealth = "health"
)

// readRequests reads requests until the connection fails, becomes idle or draining, or receives data that
// cannot be parsed. It returns the reason.
//
// The reader yields the processor after each message and each part of a long one. A client that sends at full speed
// always has unread data, so its reader never blocks: without yielding, it would run for the scheduler's whole time
// slice of about 10 ms, and a few hundred such clients would keep all others waiting for seconds.
func (c *connection) readRequests(ctx context.Context) error {
	in := bufio.NewReaderSize(neterr.Reader{From: &c.arrivals}, maxSmallFrameBytes)
	for {
		if err := c.awaitRequest(in); err != nil {
			return err
		}
		arrivedAt := c.arrivals.earliest // the last read returned the first byte of this frame
		c.setReading(true)
		if err := c.checkReadable(in); err != nil {
			return err
		}
		if err := c.readRequest(ctx, in, arrivedAt); err != nil {
			return err
		}
		c.setReading(in.Buffered() > 0)
		runtime.Gosched()
	}
}

// awaitRequest returns nil once the first byte of a request has been received, or the reason why no request is to be
// read: the connection has ended, is draining or is idle.
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
		c.stopRejecting()
		if err := c.idleTimeout(err); err != nil {
			return err
		}
	}
}

// checkReadable returns nil, or the reason why no further request may be read. It must be called after setting
// the read deadline: a goroutine that stops the reader sets the reason first and then a read deadline in the
// past, which the reader may have overwritten.
func (c *connection) checkReadable(in *bufio.Reader) error {
	if c.hasViolated() {
		return errProtocolViolation
	}
	if c.isDraining() {
		return c.rejectBuffered(in)
	}
	return nil
}

// nextReadDeadline returns how long to wait for the next request, as a point in time. A client that has had no
// response, because it has sent no request or has cancelled all of them, gets firstRequestTimeout. After that, its
// reader checks at short intervals whether a request is still in flight.
func (c *connection) nextReadDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.rejecting && c.responded {
		return now.Add(rejectingSuspendDelay)
	}
	if c.responded {
		// If the connection is idle at this time, it is suspended. The table decides when to close it.
		return now.Add(time.Duration(c.server.suspendDelay()))
	}
	if first := c.activeSince.Add(firstRequestTimeout); now.Before(first) {
		return first
	}
	return now.Add(firstRequestTimeout / 10)
}

// idleTimeout handles a connection without a request whose read deadline has passed. It returns nil to keep waiting,
// until the table closes the connection; errSuspend to suspend it; or another error to close it. A client that has had
// no response gets the error timeout.
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

// readRequest reads a frame and handles its message. arrivedAt is the earliest time, in ns, at which its first
// byte can have arrived.
func (c *connection) readRequest(ctx context.Context, in *bufio.Reader, arrivedAt int64) error {
	incoming := c.newIncomingFrame(in, arrivedAt)
	defer incoming.memory.release()
	frame, err := incoming.receive(ctx)
	if err != nil || frame == nil {
		return err
	}
	message, err := thrift.Parse(frame)
	if err != nil {
		return err
	}
	if !c.handleMessage(message, arrivedAt, &incoming.memory) {
		return c.rejectBuffered(in)
	}
	return nil
}

// handleMessage handles a message. It returns false if the message is too late because the connection is
// draining. A message that violates the protocol is answered with an exception, and nothing more is read from
// the client. memory is what is reserved for the message: it is handed over with a request that is posted.
func (c *connection) handleMessage(message thrift.Message, arrivedAt int64, memory *requestMemory) bool {
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
		if err == nil && arguments.Has[thrift.FirstArgument] && c.removeRequest(arguments.CancelSeq) {
			c.server.post(router.RequestCancelled{Client: c.id, Seq: arguments.CancelSeq}, nil)
		}
	case message.Type == thrift.Oneway: // unknown one-way message: ignored, as it has no response
	case message.Name != methodCall && message.Name != methodHealth:
		name := message.Name[:min(len(message.Name), maxMethodBytes)]
		c.sendException(message, thrift.UnknownMethod, "unknown method "+strconv.QuoteToASCII(name))
	case err != nil:
		c.sendException(message, thrift.ProtocolError, err.Error())
	case message.Name == methodHealth:
		c.send(thrift.Response{Method: methodHealth, Seq: message.Seq, Good: c.server.ready.Load()})
	default:
		return c.handleCall(message, arguments, arrivedAt, memory)
	}
	return true
}

// handleCall puts a request in flight and posts it, or rejects it. It returns false if the connection is
// draining.
func (c *connection) handleCall(
	message thrift.Message, arguments thrift.Arguments, arrivedAt int64, memory *requestMemory,
) bool {
	if c.hasDeparted(c.arrivals.earliest) || c.mustReject() {
		c.send(rejection(message.Seq))
		return true
	}
	switch c.addRequest(message.Seq) {
	case requestAdmitted:
		arguments.Body = detachBody(arguments.Body, len(message.Body))
		c.server.post(requestReceived(c.id, message.Seq, arrivedAt, arguments), memory.handOver())
	case requestDuplicate:
		c.sendException(message, thrift.BadSequence, duplicateSequenceText)
	case requestExcess:
		c.send(rejection(message.Seq))
	case requestAfterManyCancels:
		c.sendToCanceller(rejection(message.Seq))
	case requestWhileDraining:
		c.send(rejection(message.Seq))
		return false
	}
	return true
}

// detachBody returns the body of a call whose arguments have the given size in bytes. The body shares the memory of the
// call's frame. If that is mostly taken by other data, such as unknown arguments, the body is copied, so that the frame
// does not stay in memory with it.
func detachBody(body []byte, argumentBytes int) []byte {
	if 2*len(body) >= argumentBytes {
		return body
	}
	return bytes.Clone(body)
}

// requestReceived decodes a call's arguments and returns the event to post. Arguments that cannot be decoded are
// reported in the event's DecodeError.
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

// duplicateSequenceText is the text of the exception for a request whose sequence number is already in flight.
const duplicateSequenceText = "sequence number in use"

// sendException answers a message that violates the protocol, and stops reading from the client.
func (c *connection) sendException(m thrift.Message, kind int, text string) {
	c.send(thrift.Response{Method: m.Name, Seq: m.Seq, ExceptionType: kind, ExceptionText: text})
	c.closeForProtocolViolation()
}

// rejectBuffered rejects the complete requests in the read buffer of a connection that is draining. The client
// reads the rejections before the end of the stream, so it retries elsewhere only requests that have no
// response. rejectBuffered returns the error that ends the reading.
func (c *connection) rejectBuffered(in *bufio.Reader) error {
	for hasBufferedFrame(in) {
		message, remaining, err := readHeader(in)
		if err != nil {
			break
		}
		if isRequest(message) {
			c.send(rejection(message.Seq))
		}
		if _, err := in.Discard(remaining); err != nil {
			break
		}
	}
	return errDraining
}

// hasBufferedFrame reports whether the buffer holds a complete frame, which can be read without reading from
// the connection.
func hasBufferedFrame(in *bufio.Reader) bool {
	if in.Buffered() < frameLengthBytes {
		return false
	}
	length, err := in.Peek(frameLengthBytes)
	return err == nil && int64(binary.BigEndian.Uint32(length)) <= int64(in.Buffered()-frameLengthBytes)
}

// readHeader reads the start of a frame and parses the header of its message: the name, type and sequence number. It
// also returns the number of bytes of the frame that it has not read.
func readHeader(in *bufio.Reader) (message thrift.Message, remaining int, err error) {
	size, err := thrift.ReadFrameSize(in)
	if err != nil {
		return thrift.Message{}, 0, err
	}
	header := make([]byte, min(size, maxHeaderBytes))
	if _, err := io.ReadFull(in, header); err != nil {
		return thrift.Message{}, 0, err
	}
	message, err = thrift.Parse(header)
	return message, size - len(header), err
}

// isRequest reports whether a message is a request to be served or rejected, as opposed to a cancel or a
// health request.
func isRequest(m thrift.Message) bool { return m.Type == thrift.Call && m.Name == methodCall }
