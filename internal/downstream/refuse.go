package downstream

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
)

// headMost is how many bytes of a frame are kept to tell which request it is.
const headMost = 64

// lengthBytes is the length of a frame's own length.
const lengthBytes = 4

// isRequest tells whether a message is owed an answer of its own.
func isRequest(m thrift.Message) bool { return m.Type == thrift.Call && m.Name == "call" }

// refusedAnswer is the answer to a request of which nothing ran.
func refusedAnswer(seq int32) thrift.Answer { return thrift.Answer{Method: "call", Seq: seq, Field: 1} }

// skim reads a frame without keeping it and gives its message's head.
func skim(in *bufio.Reader) (thrift.Message, error) {
	size, err := thrift.FrameSize(in)
	if err != nil {
		return thrift.Message{}, err
	}
	head := make([]byte, min(size, headMost))
	if _, err := io.ReadFull(in, head); err != nil {
		return thrift.Message{}, err
	}
	if _, err := in.Discard(size - len(head)); err != nil {
		return thrift.Message{}, err
	}
	return thrift.Parse(head)
}

// ended refuses what has been read from a connection that was shut meanwhile: its client sees the end behind that, and sends
// again only what it has no answer to. It gives the error that ends the reading.
func (c *client) ended(in *bufio.Reader) error {
	for holdsFrame(in) {
		m, err := skim(in)
		if err != nil {
			break
		}
		if isRequest(m) {
			c.send(refusedAnswer(m.Seq))
		}
	}
	return errShut
}

// holdsFrame tells whether a whole frame is buffered, so that reading it takes nothing from the connection.
func holdsFrame(in *bufio.Reader) bool {
	if in.Buffered() < lengthBytes {
		return false
	}
	length, err := in.Peek(lengthBytes)
	return err == nil && int64(binary.BigEndian.Uint32(length)) <= int64(in.Buffered()-lengthBytes)
}

// refuse ends a connection that is not taken in, beyond a bound of the operator's or closed by its client while it waited: what it
// has asked, or asks within a moment, is refused. So many at once that they would be a load themselves are closed as they come.
func (f *Server) refuse(ctx context.Context, conn net.Conn) {
	if f.refusing.Add(1) > int64(f.limits.MaxConnections/closingPart)+1 {
		f.refusing.Add(-1)
		conn.Close()
		return
	}
	f.group.Go(func() {
		defer f.refusing.Add(-1)
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		conn.SetDeadline(time.Now().Add(readingMost))
		in := bufio.NewReaderSize(neterr.Reader{From: conn}, headMost)
		for m, err := skim(in); err == nil; m, err = skim(in) {
			if isRequest(m) {
				answer := net.Buffers(thrift.Frame(refusedAnswer(m.Seq)))
				if err := writeAll(conn, &answer); err != nil {
					return
				}
			}
		}
		drain(conn, shutMost)
	})
}

// writeAll writes pieces, and goes on after errors that pass.
func writeAll(conn net.Conn, pieces *net.Buffers) error {
	return neterr.Retry(func() error {
		_, err := pieces.WriteTo(conn)
		return err
	})
}

// drain half-closes a connection and reads on for a while, so that what was written is not lost to a reset.
func drain(conn net.Conn, most time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(lingerGap) {
		conn.SetReadDeadline(end)
		if _, err := io.CopyN(io.Discard, neterr.Reader{From: conn}, lingerBytes); err != nil {
			return
		}
	}
}
