package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
	for _, test := range []struct {
		name, in string
		want     string // expected events as ID=DATA and comments as #, separated by spaces
		err      error
	}{
		{
			"events and comments",
			head + ": hello\n\nid: 4\ndata: {}\n\n:\nid:5\ndata:a\ndata: b\n\n",
			"# 4={} # 5=a\nb",
			io.EOF,
		},
		{"lines that end with CR LF", head + "id: 4\r\ndata: x\r\n\r\n", "4=x", io.EOF},
		{"unknown fields, and an ID without data", head + "retry: 9\nevent: z\nid: 3\n\nid: 4\ndata: x\n\n", "4=x", io.EOF},
		{"a comment inside an event is ignored", head + "id: 4\n: beat\ndata: x\n\n", "4=x", io.EOF},
		{"headers cut short", "HTTP/1.1 200 OK\r\nA: b", "", io.EOF},
		{"chunks cut short", chunked + "2\r\n:\n\r\n", "#", io.EOF},
		{"no response", "", "", io.EOF},
		{"an event cut short", head + "id: 4\ndata: x\n", "", io.EOF},
		{"chunks that split an event", chunked + "9;x=1\r\nid: 4\ndat\r\n6\r\na: x\n\n\r\n0\r\n\r\n", "4=x", io.EOF},
		{"a chunk size that is not a number", chunked + "zz\r\nid", "", ErrMalformed},
		{"a chunk longer than its size", chunked + "2\r\n:\n:\n\r\n", "#", ErrMalformed},
		{"not HTTP", "*1\r\n", "", ErrMalformed},
		{"too many header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 99), "", ErrMalformed},
		{"a line that is too long", head + strings.Repeat("x", maxLineSize+1), "", ErrMalformed},
		{
			"an event that is too long",
			head + strings.Repeat("data: "+strings.Repeat("x", maxLineSize/2)+"\n", 9),
			"",
			ErrMalformed,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			s, err := Open(strings.NewReader(test.in))
			for err == nil {
				var e Event
				if e, err = s.Next(); err == nil && e.Comment {
					got = append(got, "#")
				} else if err == nil {
					got = append(got, e.ID+"="+string(e.Data))
				}
			}
			if !errors.Is(err, test.err) || strings.Join(got, " ") != test.want {
				t.Errorf("read %q, error %v; want %q, error %v", got, err, test.want, test.err)
			}
		})
	}
}

// The maximum size of a line must not exclude complete endpoint lists, each of which is one line: 3,200 endpoints with
// long names, or 10,000 with names of the usual length.
func TestLongLists(t *testing.T) {
	for _, test := range []struct {
		name             string
		endpoints, bytes int // number of endpoints, and size of each in bytes
	}{{"3,200 with long names", 3200, 1000}, {"10,000", 10_000, 400}} {
		t.Run(test.name, func(t *testing.T) {
			list := strings.Repeat("x", test.endpoints*test.bytes)
			s, err := Open(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nid: 4\ndata: " + list + "\n\n"))
			if err != nil {
				t.Fatal(err)
			}
			if e, err := s.Next(); err != nil || string(e.Data) != list {
				t.Errorf("read %d bytes, error %v, want %d bytes", len(e.Data), err, len(list))
			}
		})
	}
}

func TestOpenErrorTexts(t *testing.T) {
	for _, test := range []struct {
		name, in string
		want     string
	}{
		{"status", "HTTP/1.1 503 Busy\r\n\r\n", `sse: response status "503 Busy", want 200`},
		{"not HTTP", "*1\r\n", `sse: malformed: status line "*1", want HTTP/1.x`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Open(strings.NewReader(test.in))
			if err == nil || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
	var status *StatusError
	_, err := Open(strings.NewReader("HTTP/1.1 503 Busy\r\n\r\n"))
	if !errors.As(err, &status) || status.Status != "503 Busy" {
		t.Errorf("error %v, want a StatusError with status 503 Busy", err)
	}
}

func TestInsideEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, test := range []struct {
		name, in string
		want     bool
	}{
		{"between events", "id: 4\ndata: x\n\n", false},
		{"within an event", "id: 4\ndata: x\n", true},
		{"within a line", "id", true},
		{"after a comment", ":\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, err := Open(strings.NewReader(head + test.in))
			for err == nil {
				_, err = s.Next()
			}
			if s.InsideEvent() != test.want {
				t.Errorf("InsideEvent returned %t, want %t", s.InsideEvent(), test.want)
			}
		})
	}
}

func TestWriteRequest(t *testing.T) {
	var out bytes.Buffer
	if err := WriteRequest(&out, "10.2.0.1:2379", "/journal", "41"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"GET /journal HTTP/1.1\r\n",
		"\r\nHost: 10.2.0.1:2379\r\n",
		"\r\nLast-Event-ID: 41\r\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("request %q does not contain %q", out.String(), want)
		}
	}
	if !strings.HasSuffix(out.String(), "\r\n\r\n") {
		t.Errorf("request %q does not end with an empty line", out.String())
	}
}
