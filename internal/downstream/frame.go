package downstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"os"
	"runtime"
	"time"

	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

const (
	// requestStallTimeout is how long a client that has had no response yet may go on without sending the next byte of
	// a request, and how long a client may take for the rest of a rejected one. It is also the time limit of a request
	// if the settings state no deadlines.
	requestStallTimeout = 2 * time.Second

	// frameCheckInterval is the maximum time between two checks of whether the rest of a frame is to be awaited.
	frameCheckInterval = 100 * time.Millisecond
)

// Reasons for not waiting any longer for the rest of a frame.
var (
	errRequestExpired = errors.New("downstream: time of a partly received request is over")
	errRequestStalled = errors.New("downstream: client stopped sending within a request")
)

// incomingFrame is a frame that is being received. It implements io.Reader for the frame's bytes.
//
// A client may write a request slowly, and each request that it has written has to get a response. So the rest of a
// request is awaited while its client may still wait for the response. Once that time is over, the request is rejected
// as soon as its sequence number is known, and the rest is discarded. The connection is kept open while other requests
// are in flight on it, because the responses have to be written anyway.
type incomingFrame struct {
	connection *connection
	in         *bufio.Reader
	begunAt    time.Time // earliest time at which the first byte can have arrived
	progressAt time.Time // when data was received last
	expiresAt  time.Time // when the client stops waiting for a response; the latest possible time until that is known

	buffer   []byte        // receives the frame; nil while its length field is read or the rest is discarded
	received int           // number of bytes in buffer
	memory   requestMemory // reserved for a large frame; to be released by the caller of receive

	message    thrift.Message // header of the message, if identified
	identified bool
	fieldsRead bool // expiresAt is final
	rejected   bool // the rest is discarded until expiresAt
}

// newIncomingFrame returns a frame of which nothing has been read. arrivedAt is the earliest time, in ns, at which its
// first byte can have arrived.
func (c *connection) newIncomingFrame(in *bufio.Reader, arrivedAt int64) *incomingFrame {
	now := time.Now()
	begunAt := now.Add(time.Duration(arrivedAt - c.server.now()))
	return &incomingFrame{
		connection: c,
		in:         in,
		begunAt:    begunAt,
		progressAt: now,
		expiresAt:  begunAt.Add(c.server.config.MaxRequestTime),
	}
}

// Read implements io.Reader. It returns an error once the rest of the frame is not to be awaited any longer.
func (f *incomingFrame) Read(buffer []byte) (int, error) {
	for {
		if f.in.Buffered() == 0 {
			if err := f.prepareWait(); err != nil {
				return 0, err
			}
		}
		count, err := f.in.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
		if count > 0 {
			f.received += count
			f.progressAt = time.Now()
			runtime.Gosched() // see readRequests
		}
		if count > 0 || err != nil {
			return count, err
		}
	}
}

// prepareWait sets the deadline of the next read, or returns the reason not to wait for more data.
func (f *incomingFrame) prepareWait() error {
	f.identify()
	now := time.Now()
	next := now.Add(frameCheckInterval)
	if f.expiresAt.After(now) && f.expiresAt.Before(next) {
		next = f.expiresAt
	}
	// The deadline is set before the checks: a goroutine that stops the reader sets the reason first and then a
	// deadline in the past.
	setReadDeadline(f.connection.conn, next)
	return f.checkWait(now)
}

// checkWait returns nil if the rest of the frame is to be awaited, or the reason why not.
func (f *incomingFrame) checkWait(now time.Time) error {
	c := f.connection
	expired := !now.Before(f.expiresAt) || c.server.answerDeadlineReached()
	stalled := now.Sub(f.progressAt) >= requestStallTimeout
	mayPause := c.hasResponded() && !f.rejected
	switch {
	case c.hasViolated():
		return errProtocolViolation
	case c.isDraining():
		return errDraining
	case f.isOpenRequest() && expired:
		return errRequestExpired
	case c.isQuiescent() && (expired || stalled && !mayPause):
		return errRequestStalled
	}
	return nil
}

// isOpenRequest reports whether the frame is known to hold a request, which has not been rejected.
func (f *incomingFrame) isOpenRequest() bool {
	return f.identified && isRequest(f.message) && !f.rejected
}

// identify parses the received start of the frame, as far as it goes: the header of the message, and the time that its
// client allows for the response.
func (f *incomingFrame) identify() {
	if f.buffer == nil || f.fieldsRead {
		return
	}
	head := f.buffer[:min(f.received, maxSmallFrameBytes)]
	message, err := thrift.Parse(head)
	if err != nil {
		return // incomplete or invalid; the latter is handled once the whole frame has been received
	}
	f.message, f.identified = message, true
	arguments, err := thrift.ParseArguments(message.Body)
	f.fieldsRead = arguments.Fields != nil || len(head) == maxSmallFrameBytes
	if arguments.Fields == nil || err != nil && !errors.Is(err, thrift.ErrTruncated) {
		return
	}
	if request, err := router.DecodeRequest(arguments.Fields, nil); err == nil {
		clientDeadline := f.begunAt.Add(time.Duration(request.Deadline(0)))
		if clientDeadline.Before(f.expiresAt) {
			f.expiresAt = clientDeadline
		}
	}
}

// receive reads the whole frame and returns it. It returns nil without an error if the frame is a request that has been
// rejected because its time was over or no memory was available for it.
func (f *incomingFrame) receive(ctx context.Context) ([]byte, error) {
	frame, size, err := f.receiveAccepted(ctx)
	switch {
	case errors.Is(err, errRequestExpired), errors.Is(err, errNoRequestMemory):
		if err := f.reject(err); err != nil {
			return nil, err
		}
		return nil, f.discard(size)
	case errors.Is(err, errRequestStalled), errors.Is(err, errDraining):
		return nil, errors.Join(f.reject(err), err)
	}
	return frame, err
}

// receiveAccepted reads the whole frame and returns it with its size. Memory for a large frame is reserved only once
// the start of the frame has been received, so that a client that merely announces large frames takes no memory. If no
// memory is available, receiveAccepted returns errNoRequestMemory.
func (f *incomingFrame) receiveAccepted(ctx context.Context) (frame []byte, size int, err error) {
	size, err = thrift.ReadFrameSize(f)
	if err != nil {
		return nil, 0, err
	}
	f.buffer, f.received = make([]byte, min(size, maxSmallFrameBytes)), 0
	if _, err := io.ReadFull(f, f.buffer); err != nil || size <= maxSmallFrameBytes {
		return f.buffer, size, err
	}
	var acquired bool
	f.memory, acquired = f.connection.server.memory.acquireRequest(ctx, size)
	if !acquired {
		if ctx.Err() != nil {
			return nil, size, ctx.Err()
		}
		_, parseError := thrift.Parse(f.buffer)
		return nil, size, cmp.Or(parseError, errNoRequestMemory)
	}
	f.buffer = append(make([]byte, 0, size), f.buffer...)[:size]
	_, err = io.ReadFull(f, f.buffer[maxSmallFrameBytes:])
	return f.buffer, size, err
}

// reject answers the request in a partly received frame with a rejection. It does nothing if the frame is not known to
// hold a request. cause is why the rest is not awaited. It returns an error if nothing more is to be read.
func (f *incomingFrame) reject(cause error) error {
	f.identify()
	if !f.isOpenRequest() {
		return nil
	}
	f.rejected = true
	c := f.connection
	c.server.logPartialRejection(cause)
	switch c.addRequest(f.message.Seq) {
	case requestAdmitted:
		c.respond(rejection(f.message.Seq))
	case requestExcess:
		c.send(rejection(f.message.Seq))
	case requestAfterManyCancels:
		c.sendToCanceller(rejection(f.message.Seq))
	case requestDuplicate:
		c.sendException(f.message, thrift.BadSequence, duplicateSequenceText)
		return errProtocolViolation
	case requestWhileDraining:
		c.send(rejection(f.message.Seq))
		return errDraining
	}
	return nil
}

// discard reads the rest of the frame, whose size is given in bytes, and drops it. A client that has no other request
// in flight may take requestStallTimeout for it.
func (f *incomingFrame) discard(size int) error {
	remaining := size - f.received
	f.buffer, f.rejected = nil, true
	f.memory.release()
	f.expiresAt = time.Now().Add(requestStallTimeout)
	_, err := io.CopyN(io.Discard, f, int64(remaining))
	return err
}
