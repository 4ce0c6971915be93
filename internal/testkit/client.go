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

// Parts of the encoded results of calls, by which tests recognize the results.
const (
	// Served is the start of a result with the body that Cache returns for a request of Client.Call.
	Served = "\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x0awhole:body"
	// NotModified is a part of a result that says that the client's copy is still valid.
	NotModified = "\x00\x00\x00\x05ok304\x00\x00\x00\x011"
	// Rejected is the start of a result that rejects a call.
	Rejected = "\x0c\x00\x01"
	// healthResultPrefix is the start of the result of a health check. The next byte is 1 if the router can serve
	// clients, else 0.
	healthResultPrefix = "\x02\x00\x03"
)

// ClosedSequence is the sequence number that Client.Next returns if it receives no valid response.
const ClosedSequence = -1

// healthSequence is the sequence number that ExpectHealth and IsHealthy give to health checks.
const healthSequence = 9

// ObjectID returns an object ID of 16 hexadecimal digits, another one for each number.
func ObjectID(n int) string { return fmt.Sprintf("%016x", n) }

// Client is a client with one connection to a router. One goroutine may send while another one reads.
type Client struct {
	Conn net.Conn

	t        *testing.T
	in       *bufio.Reader
	sequence int32
}

// Dial connects a client to a router and closes the connection at the end of the test. Reads and writes fail once
// the connection is older than twice Timeout.
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

// NewClient returns a client that uses an open connection.
func NewClient(t *testing.T, conn net.Conn) *Client {
	return &Client{Conn: conn, t: t, in: bufio.NewReader(conn)}
}

// Close closes the connection before the end of the test, as a client that disconnects does.
func (c *Client) Close() { Close(c.Conn) }

// Send sends a message of a Thrift message kind with encoded arguments.
func (c *Client) Send(kind byte, method string, sequence int32, arguments []byte) {
	Write(c.Conn, messageFrame(kind, method, sequence, arguments))
}

// messageFrame encodes a message with its length before it.
func messageFrame(kind byte, method string, sequence int32, arguments []byte) []byte {
	message := appendText([]byte{0x80, 1, 0, kind}, method)
	message = binary.BigEndian.AppendUint32(message, uint32(sequence))
	return appendText(nil, string(append(message, arguments...)))
}

// appendText appends the length of a text and the text.
func appendText(out []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// Call sends a call for an object with the client's timeout, and returns the sequence number of the call. The
// additional fields are alternating names and values. A value replaces the default value of the field with that name.
func (c *Client) Call(object string, timeout time.Duration, additional ...string) int32 {
	frame := c.CallFrame(object, timeout, "body", additional...)
	Write(c.Conn, frame)
	return c.sequence
}

// CallFrame encodes a call like Call without sending it. Sequence returns the sequence number of the call.
func (c *Client) CallFrame(object string, timeout time.Duration, body string, additional ...string) []byte {
	c.sequence++
	fields := append([]string{
		"verb", "stills",
		"txn", fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limit", fmt.Sprint(timeout.Milliseconds()),
		"item", object,
		"nth", "0",
		"batch", "17",
	}, additional...)
	arguments := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)/2))
	for _, field := range fields {
		arguments = appendText(arguments, field)
	}
	arguments = append(appendText(append(arguments, 11, 0, 2), body), 0)
	return messageFrame(thrift.Call, "call", c.sequence, arguments)
}

// Sequence returns the sequence number of the last call that Call or CallFrame encoded.
func (c *Client) Sequence() int32 { return c.sequence }

// Cancel asks the router to cancel the call with a sequence number. The request has no response of its own.
func (c *Client) Cancel(sequence int32) {
	arguments := append(binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(sequence)), 0)
	c.Send(thrift.Oneway, "cancel", 99, arguments) // there is no response, so the number is not used
}

// Next reads a response and returns its sequence number and its encoded result. If it fails, it returns
// ClosedSequence and the text of the error.
func (c *Client) Next() (sequence int32, result string) {
	size, err := thrift.ReadFrameSize(c.in)
	if err != nil {
		return ClosedSequence, err.Error()
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(c.in, frame); err != nil {
		return ClosedSequence, err.Error()
	}
	message, err := thrift.Parse(frame)
	if err != nil {
		c.t.Errorf("malformed response frame %q: %v", frame, err)
		return ClosedSequence, err.Error()
	}
	return message.Seq, string(message.Body)
}

// Expect reads a response and checks its sequence number and that its result contains a part.
func (c *Client) Expect(sequence int32, part string) {
	c.t.Helper()
	if got, result := c.Next(); got != sequence || !strings.Contains(result, part) {
		c.t.Errorf("response has sequence number %d and result %q, want number %d and a result with %q",
			got, result, sequence, part)
	}
}

// ExpectServed sends a call for an object and checks that the object is served.
func (c *Client) ExpectServed(object string, timeout time.Duration) {
	c.t.Helper()
	c.Expect(c.Call(object, timeout), Served)
}

// ExpectEOF checks that the router closes the connection without a reset and without a further response. The
// failure message starts with when.
func (c *Client) ExpectEOF(when string) {
	c.t.Helper()
	if got, result := c.Next(); got != ClosedSequence || result != io.EOF.Error() {
		c.t.Errorf("%s: read sequence number %d and result %q, want EOF", when, got, result)
	}
}

// ExpectHealth sends a health check and checks that the router responds that it can serve clients, or that it
// can't if healthy is false.
func (c *Client) ExpectHealth(healthy bool) {
	c.t.Helper()
	c.Send(thrift.Call, "health", healthSequence, []byte{0})
	c.Expect(healthSequence, healthResult(healthy))
}

// healthResult returns the start of the encoded result of a health check.
func healthResult(healthy bool) string {
	if healthy {
		return healthResultPrefix + "\x01"
	}
	return healthResultPrefix + "\x00"
}

// IsHealthy sends a health check to the router at an address and reports whether the router responds within the
// timeout that it can serve clients.
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
	return sequence == healthSequence && strings.Contains(result, healthResult(true))
}
