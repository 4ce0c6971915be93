package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Event is a server-sent event or a comment.
type Event struct {
	ID      string
	Data    []byte
	Comment bool // whether this is a comment; its ID and Data are empty
}

// Stream is the sequence of events and comments in the body of an HTTP response.
type Stream struct {
	in      *bufio.Reader
	partial bool // a part of the next event or line has been read
}

// InsideEvent reports whether a part of an event or line has been received that Next has not returned yet. It may be
// called by the Read method of the reader that was passed to Open, or after Next has returned an error.
func (s *Stream) InsideEvent() bool {
	return s.partial || s.in.Buffered() > 0
}

// AwaitData returns nil once the body of the response has begun, or the error of the reader.
func (s *Stream) AwaitData() error {
	_, err := s.in.Peek(1)
	return err
}

// Open reads the status line and headers of a response, and returns the stream in its body. A status other than 200 is
// a StatusError.
func Open(raw io.Reader) (*Stream, error) {
	in := bufio.NewReaderSize(raw, bufferSize)
	if err := readStatus(in); err != nil {
		return nil, err
	}
	chunked, err := readHeader(in)
	if err != nil {
		return nil, err
	}
	if chunked {
		in = bufio.NewReaderSize(&chunkedReader{in: in}, bufferSize)
	}
	return &Stream{in: in}, nil
}

// readStatus reads the status line. It returns a StatusError for any status other than 200.
func readStatus(in *bufio.Reader) error {
	line, err := readLine(in)
	if err != nil {
		return err
	}
	version, status, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return &MalformedError{Reason: fmt.Sprintf("status line %.40q, want HTTP/1.x", line)}
	}
	if code != "200" {
		return &StatusError{Status: status}
	}
	return nil
}

// readHeader reads all header lines. It reports whether the body is in the chunked transfer coding, and ignores the
// other headers.
func readHeader(in *bufio.Reader) (chunked bool, err error) {
	for lines := 0; ; lines++ {
		line, err := readLine(in)
		if err != nil {
			return false, err
		}
		if len(line) == 0 {
			return chunked, nil
		}
		if lines == maxHeaderLines {
			return false, &MalformedError{Reason: fmt.Sprintf("more than %d header lines", maxHeaderLines)}
		}
		name, value, _ := strings.Cut(string(line), ":")
		isTransferCoding := strings.EqualFold(name, "Transfer-Encoding")
		if isTransferCoding && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			chunked = true
		}
	}
}

// Next returns the next event or comment. It returns an event only once the empty line after it has been read.
func (s *Stream) Next() (Event, error) {
	var event Event
	hasData := false
	s.partial = false
	for {
		line, err := readLine(s.in)
		if err != nil {
			s.partial = s.partial || len(line) > 0
			return Event{}, err
		}
		s.partial = len(line) > 0
		switch {
		case len(line) == 0 && hasData:
			return event, nil
		case len(line) == 0:
			event = Event{} // lines without data before an empty line are not an event
		case line[0] == ':':
			if !hasData && event.ID == "" {
				s.partial = false
				return Event{Comment: true}, nil
			}
		default:
			hasData, err = event.addLine(line, hasData)
			if err != nil {
				return Event{}, err
			}
		}
	}
}

// addLine adds a line of the stream to the event. hasData says whether an earlier line of the event was data; the
// result says whether an earlier line or this one was.
func (e *Event) addLine(line []byte, hasData bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if !hasData {
			e.Data = value // readLine returns newly allocated memory, so a long list need not be copied
			return true, nil
		}
		if len(e.Data)+len(value) >= maxEventSize {
			return true, &MalformedError{Reason: fmt.Sprintf("event with more than %d bytes of data", maxEventSize)}
		}
		e.Data = append(append(e.Data, '\n'), value...)
	}
	return hasData, nil
}

// readLine reads a line and returns it without its line end. If a read fails, it returns the part of the line that has
// been read.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > maxLineSize {
			return nil, &MalformedError{Reason: fmt.Sprintf("line of more than %d bytes", maxLineSize)}
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}
