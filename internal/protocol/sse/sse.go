// Package sse asks for a stream of server-sent events over HTTP and reads it.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of what is read.
const (
	lineMost   = 4 << 20 // of a line; a whole list is one: 10,000 members at 400 bytes
	eventMost  = 4 << 20
	headMost   = 64       // lines of an answer's head
	bufferSize = 16 << 10 // read from the connection at a time
)

// ErrForm is input that is no such stream.
var ErrForm = errors.New("sse: malformed")

// Event is one event, or a comment.
type Event struct {
	ID      string
	Data    []byte
	Comment bool
}

// Request writes the request for a stream.
func Request(out io.Writer, host, path, lastID string) error {
	_, err := fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n"+
		"Cache-Control: no-cache\r\nLast-Event-ID: %s\r\n\r\n", path, host, lastID)
	return err
}

// Stream reads events.
type Stream struct {
	in    *bufio.Reader
	begun bool // some lines of an event have come, not all
}

// Inside tells whether part of an event or of a line has come, and not the rest: asked from the reader that the stream was
// opened on, or once Next has failed.
func (s *Stream) Inside() bool { return s.begun || s.in.Buffered() > 0 }

// Open reads the head of the answer to a request.
func Open(raw io.Reader) (*Stream, error) {
	in := bufio.NewReaderSize(raw, bufferSize)
	status, err := readLine(in)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(string(status), " ")
	code, _, _ := strings.Cut(rest, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return nil, fmt.Errorf("%w: no HTTP answer", ErrForm)
	}
	if code != "200" {
		return nil, fmt.Errorf("sse: answered %.40q", rest)
	}
	chunked := false
	for n := 0; ; n++ {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		if n == headMost {
			return nil, fmt.Errorf("%w: head too long", ErrForm)
		}
		name, value, _ := strings.Cut(string(line), ":")
		if strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			chunked = true
		}
	}
	if chunked {
		in = bufio.NewReaderSize(&chunks{in: in}, bufferSize)
	}
	return &Stream{in: in}, nil
}

// Next reads the next event or comment. An event that the stream ends in is not given.
func (s *Stream) Next() (Event, error) {
	var e Event
	some := false
	s.begun = false
	for {
		line, err := readLine(s.in)
		if err != nil {
			s.begun = s.begun || len(line) > 0
			return Event{}, err
		}
		if s.begun = len(line) > 0; !s.begun {
			if some {
				return e, nil
			}
			e = Event{}
			continue
		}
		if line[0] == ':' {
			if !some && e.ID == "" {
				s.begun = false
				return Event{Comment: true}, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if !some {
				e.Data, some = value, true // the line is this event's alone: a long list is not copied
				continue
			}
			if len(e.Data)+len(value) >= eventMost {
				return Event{}, fmt.Errorf("%w: event too long", ErrForm)
			}
			e.Data = append(append(e.Data, '\n'), value...)
		}
	}
}

// readLine reads a line without its end; with an error what has come of it.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > lineMost {
			return nil, fmt.Errorf("%w: line too long", ErrForm)
		}
		line = append(line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}

// chunks reads a body in HTTP's chunked coding.
type chunks struct {
	in   *bufio.Reader
	left int64
	some bool
}

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.some {
			if end, err := readLine(c.in); err != nil || len(end) > 0 {
				return 0, errors.Join(ErrForm, err)
			}
		}
		line, err := readLine(c.in)
		if err != nil {
			return 0, err
		}
		size, _, _ := strings.Cut(string(line), ";")
		c.left, err = strconv.ParseInt(strings.TrimSpace(size), 16, 32)
		if err != nil || c.left < 0 {
			return 0, fmt.Errorf("%w: chunk of %.20q", ErrForm, size)
		}
		if c.some = true; c.left == 0 {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.in.Read(p)
	c.left -= int64(n)
	return n, err
}
