package testkit

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tealpath/internal/protocol/thrift"
)

// Parts of responses to calls.
const (
	// Served is the start of a result with the body that Cache gives to a request of Client.Call.
	Served = "\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x0awhole:body"
	// NotModified is a part of a result that says that the client's own copy holds.
	NotModified = "\x00\x00\x00\x05ok304\x00\x00\x00\x011"
	// Rejected is the start of a result that rejects a call.
	Rejected = "\x0c\x00\x01"
	// healthResult is the start of the result of a health check; a byte follows that is 1 where the router can
	// serve.
	healthResult = "\x02\x00\x03"
)

// ClosedSequence is the sequence number that Client.Next returns where no response came.
const ClosedSequence = -1

// healthSequence is the sequence number of health checks.
const healthSequence = 9

// ObjectID returns the name of the object with a number.
func ObjectID(n int) string { return fmt.Sprintf("%016x", n) }

// Client is a connection of a client to a router. One goroutine may send while another reads.
type Client struct {
	Conn net.Conn

	t        *testing.T
	in       *bufio.Reader
	sequence int32
}

// Dial connects a client, for whose connection all reads and writes have to be done within twice Timeout.
func Dial(t *testing.T, address string) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { Close(conn) })
	SetTimeout(t, conn, 2*Timeout)
	return NewClient(t, conn)
}

// NewClient returns a client that uses a connection.
func NewClient(t *testing.T, conn net.Conn) *Client {
	return &Client{Conn: conn, t: t, in: bufio.NewReader(conn)}
}

// Close closes the client's connection.
func (c *Client) Close() { Close(c.Conn) }

// Send sends a message with encoded arguments.
func (c *Client) Send(kind byte, method string, sequence int32, arguments []byte) {
	Write(c.Conn, messageFrame(kind, method, sequence, arguments))
}

// messageFrame returns a message behind its length.
func messageFrame(kind byte, method string, sequence int32, arguments []byte) []byte {
	message := appendText([]byte{0x80, 1, 0, kind}, method)
	message = binary.BigEndian.AppendUint32(message, uint32(sequence))
	return appendText(nil, string(append(message, arguments...)))
}

// appendText appends a text behind its length.
func appendText(out []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// Call asks for an object that the client waits for so long, and returns the sequence number. More fields, name
// and value by turns, replace those of the same name.
func (c *Client) Call(object string, timeout time.Duration, more ...string) int32 {
	frame := c.CallFrame(object, timeout, "body", more...)
	Write(c.Conn, frame)
	return c.sequence
}

// CallFrame returns the bytes of a call without sending them. Its sequence number is Sequence.
func (c *Client) CallFrame(object string, timeout time.Duration, body string, more ...string) []byte {
	c.sequence++
	fields := append([]string{
		"verb", "stills",
		"txn", fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limit", fmt.Sprint(timeout.Milliseconds()),
		"item", object,
		"nth", "0",
		"batch", "17",
	}, more...)
	arguments := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)/2))
	for _, field := range fields {
		arguments = appendText(arguments, field)
	}
	arguments = append(appendText(append(arguments, 11, 0, 2), body), 0)
	return messageFrame(thrift.Call, "call", c.sequence, arguments)
}

// Sequence returns the sequence number of the last call.
func (c *Client) Sequence() int32 { return c.sequence }

// Cancel cancels a call.
func (c *Client) Cancel(sequence int32) {
	arguments := append(binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(sequence)), 0)
	c.Send(thrift.Oneway, "cancel", 99, arguments)
}

// Next reads a response, and returns its sequence number and its result. Where none comes the sequence number
// is ClosedSequence, and the text is the error.
func (c *Client) Next() (sequence int32, result string) {
	size, err := thrift.FrameSize(c.in)
	if err != nil {
		return ClosedSequence, err.Error()
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(c.in, frame); err != nil {
		return ClosedSequence, err.Error()
	}
	message, err := thrift.Parse(frame)
	if err != nil {
		c.t.Errorf("malformed response %q: %v", frame, err)
		return ClosedSequence, err.Error()
	}
	return message.Seq, string(message.Body)
}

// Expect reads a response, and checks its sequence number and that its result has a part.
func (c *Client) Expect(sequence int32, part string) {
	c.t.Helper()
	if got, result := c.Next(); got != sequence || !strings.Contains(result, part) {
		c.t.Errorf("response %d %q, want %d with %q", got, result, sequence, part)
	}
}

// ExpectServed asks for an object and checks that it is served.
func (c *Client) ExpectServed(object string, timeout time.Duration) {
	c.t.Helper()
	c.Expect(c.Call(object, timeout), Served)
}

// ExpectEOF checks that the router has closed the connection without a reset and without a further response.
func (c *Client) ExpectEOF(when string) {
	c.t.Helper()
	if got, result := c.Next(); got != ClosedSequence || result != io.EOF.Error() {
		c.t.Errorf("%s: response %d %q, want the end of the connection", when, got, result)
	}
}

// ExpectHealth checks that the router responds to a health check, and whether it says that it can serve.
func (c *Client) ExpectHealth(good bool) {
	c.t.Helper()
	c.Send(thrift.Call, "health", healthSequence, []byte{0})
	c.Expect(healthSequence, healthPart(good))
}

// healthPart returns the part of the result of a health check that says whether the router can serve.
func healthPart(good bool) string {
	if good {
		return healthResult + "\x01"
	}
	return healthResult + "\x00"
}

// IsHealthy tells whether the router at an address says within a time that it can serve.
func IsHealthy(t *testing.T, address string, timeout time.Duration) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer Close(conn)
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return false
	}
	client := NewClient(t, conn)
	client.Send(thrift.Call, "health", healthSequence, []byte{0})
	sequence, result := client.Next()
	return sequence == healthSequence && strings.Contains(result, healthPart(true))
}
