package thrift

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
)

// text returns s as an encoded string value: its length and its bytes.
func text(s string) string { return string(appendString(nil, s)) }

func TestFrameSize(t *testing.T) {
	for _, test := range []struct {
		name, in string
		want     int
		err      error
	}{
		{"an allowed size", "\x00\x00\x01\x02", 258, nil},
		{"the maximum size", "\x00\x04\x00\x00", MaxFrameSize, nil},
		{"too large", "\x00\x04\x00\x01", 0, ErrFrameSize},
		{"negative", "\xff\xff\xff\xff", 0, ErrFrameSize},
		{"empty", "\x00\x00\x00\x00", 0, ErrFrameSize},
		{"cut short", "\x00\x00", 0, io.ErrUnexpectedEOF},
		{"no input", "", 0, io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, err := ReadFrameSize(strings.NewReader(test.in)); got != test.want || !errors.Is(err, test.err) {
				t.Errorf("size %d, error %v, want %d, %v", got, err, test.want, test.err)
			}
		})
	}
}

func TestParse(t *testing.T) {
	for _, test := range []struct {
		name, in string
		valid    bool
	}{
		{"a call", "\x80\x01\x00\x01" + text("call") + "\x00\x00\x00\x07\x00", true},
		{"not strict", text("call") + "\x01\x00\x00\x00\x07\x00", false},
		{"another version", "\x80\x02\x00\x01" + text("call") + "\x00\x00\x00\x07\x00", false},
		{"a name longer than the frame", "\x80\x01\x00\x01\x00\x00\x00\x99call\x00\x00\x00\x07", false},
		{"a name of negative length", "\x80\x01\x00\x01\xff\xff\xff\xffcall\x00\x00\x00\x07", false},
		{"no sequence number", "\x80\x01\x00\x01" + text("call") + "\x00", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, err := Parse([]byte(test.in))
			if (err == nil) != test.valid {
				t.Fatalf("message %+v, error %v, want valid: %t", m, err, test.valid)
			}
			if test.valid && (m.Name != "call" || m.Type != Call || m.Seq != 7 || len(m.Body) != 1) {
				t.Errorf("message %+v, want Name call, Type %d, Seq 7 and a Body of 1 byte", m, Call)
			}
		})
	}
}

// shortFields returns the encoded fields of a call that has count of them.
func shortFields(count int) string {
	encoded := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(count)))
	encoded += text("verb") + text("stills")
	for n := range count - 1 {
		encoded += text(strconv.Itoa(n)) + text("")
	}
	return encoded
}

// longField returns the encoded fields of a call that has one, with a value of size bytes.
func longField(size int) string {
	return "\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01" + text("verb") + text(strings.Repeat("x", size))
}

func TestParseArguments(t *testing.T) {
	fields := "\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01" + text("verb") + text("stills")
	nested := strings.Repeat("\x0c\x00\x09", 40)
	for _, test := range []struct {
		name, in string
		body     string
		err      string
	}{
		{"fields and body", fields + "\x0b\x00\x02" + text("b\x00y") + "\x00", "b\x00y", ""},
		{"an empty body", fields + "\x0b\x00\x02" + text("") + "\x00", "", ""},
		{
			"unknown fields are skipped", "\x0c\x00\x09\x0f\x00\x01\x0b\x00\x00\x00\x01" + text("x") + "\x00" +
				"\x0d\x00\x08\x08\x0a\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x02" +
				"\x02\x00\x07\x01\x03\x00\x06\x01\x06\x00\x05\x00\x01" +
				"\x04\x00\x04\x00\x00\x00\x00\x00\x00\x00\x00" + fields + "\x00",
			"", "",
		},
		{"no end", fields, "", "cut short"},
		{"bytes after the end", fields + "\x00x", "", "behind"},
		{"a string longer than the rest", fields + "\x0b\x00\x02\x00\x00\x00\x09b\x00", "", "cut short"},
		{"a map of negative size", "\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff\x00", "", "bad map"},
		{"a map larger than the rest", "\x0d\x00\x01\x0b\x0b\x00\x0f\xff\xff\x00", "", "bad map"},
		{"the most entries allowed", shortFields(64) + "\x0b\x00\x02" + text("b\x00y") + "\x00", "b\x00y", ""},
		{"too many entries", shortFields(65) + "\x00", "", "map too large"},
		{"a value that is too long", longField(4096) + "\x00", "", "map too large"},
		{"a map of numbers", "\x0d\x00\x01\x08\x08\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x01\x00", "", "bad map"},
		{"an unknown type", "\x63\x00\x01\x00", "", "unknown type"},
		{"nested too deeply", nested, "", "too deeply"},
		{"a huge list of an unknown type", "\x0f\x00\x09\x63\x7f\xff\xff\xff\x00", "", "unknown type"},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, err := ParseArguments([]byte(test.in))
			if test.err != "" {
				if err == nil || !strings.Contains(err.Error(), test.err) {
					t.Errorf("error %v, want one that contains %q", err, test.err)
				}
				return
			}
			if err != nil || a.Fields["verb"] != "stills" || string(a.Body) != test.body {
				t.Errorf("arguments %+v, error %v, want verb stills and body %q", a, err, test.body)
			}
		})
	}
	t.Run("the sequence number to cancel", func(t *testing.T) {
		a, err := ParseArguments([]byte("\x08\x00\x01\x00\x00\x00\x05\x00"))
		if err != nil || a.CancelSeq != 5 || !a.Has[FirstArgument] {
			t.Errorf("arguments %+v, error %v, want CancelSeq 5", a, err)
		}
	})
}

func TestEncodeResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		in   Response
		want string // expected bytes of the frame after the sequence number
	}{
		{"served", Response{Body: []byte("xy"), Good: true}, "\x0c\x00\x00\x0b\x00\x01" + text("xy") +
			"\x0d\x00\x02\x0b\x0b\x00\x00\x00\x00\x02\x00\x03\x01\x00\x00"},
		{"rejected", Response{ResultField: 1, Fields: [][2]string{{"later", "80"}}}, "" +
			"\x0c\x00\x01\x0d\x00\x01\x0b\x0b" +
			"\x00\x00\x00\x01" + text("later") + text("80") + "\x00\x00"},
		{"failed", Response{ResultField: 2}, "\x0c\x00\x02\x0d\x00\x01\x0b\x0b\x00\x00\x00\x00\x00\x00"},
		{"an exception", Response{ExceptionType: UnknownMethod, ExceptionText: "odd"}, "\x0b\x00\x01" + text("odd") +
			"\x08\x00\x02\x00\x00\x00\x01\x00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.in.Method, test.in.Seq = "call", 258
			got := bytes.Join(EncodeResponse(test.in), nil)
			messageType := "\x02"
			if test.in.ExceptionType != 0 {
				messageType = "\x03"
			}
			want := "\x80\x01\x00" + messageType + text("call") + "\x00\x00\x01\x02" + test.want
			if size := binary.BigEndian.Uint32(got); int(size) != len(got)-4 || string(got[4:]) != want {
				t.Errorf("frame size %d, frame %q\nwant size %d, frame %q", size, got[4:], len(want), want)
			}
		})
	}
}
