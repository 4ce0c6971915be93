package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// Event is one event, or a comment.
type Event struct {
	ID      string
	Data    []byte
	Comment bool
}

// Stream reads events.
type Stream struct {
	in      *bufio.Reader
	partial bool // some lines of an event have come, not all
}

// Inside tells whether part of an event or of a line has come, and not the rest. It may be called from the
// reader that the stream was opened on, or once Next has failed.
func (s *Stream) Inside() bool {
	return s.partial || s.in.Buffered() > 0
}

// Open reads the head of the response to a request.
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

// readStatus reads the status line. Any status but 200 is an error.
func readStatus(in *bufio.Reader) error {
	line, err := readLine(in)
	if err != nil {
		return err
	}
	version, status, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return &FormError{Reason: "no HTTP answer"}
	}
	if code != "200" {
		return &StatusError{Status: status}
	}
	return nil
}

// readHeader reads the header lines and says whether the body is in chunked coding.
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
			return false, &FormError{Reason: "head too long"}
		}
		name, value, _ := strings.Cut(string(line), ":")
		isCoding := strings.EqualFold(name, "Transfer-Encoding")
		if isCoding && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			chunked = true
		}
	}
}

// Next reads the next event or comment. An event is returned once the empty line behind it has come.
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
			event = Event{} // without data it is none
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

// addLine adds one line of an event, and says whether the event has data now.
func (e *Event) addLine(line []byte, hasData bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if !hasData {
			e.Data = value // no other line shares its memory, so a long list is not copied
			return true, nil
		}
		if len(e.Data)+len(value) >= maxEventSize {
			return true, &FormError{Reason: "event too long"}
		}
		e.Data = append(append(e.Data, '\n'), value...)
	}
	return hasData, nil
}

// readLine reads a line and returns it without its end. With an error it returns what of the line has come.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > maxLineSize {
			return nil, &FormError{Reason: "line too long"}
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
