package resp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	for _, test := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"three strings", "*3\r\n$2\r\nid\r\n$0\r\n\r\n$4\r\na\r\nb\r\n", []string{"id", "", "a\r\nb"}, nil},
		{"an empty array", "*0\r\n", nil, nil},
		{"no input", "", nil, io.EOF},
		{"an array cut short", "*2\r\n$2\r\nid\r\n", nil, io.ErrUnexpectedEOF},
		{"a string cut short", "*1\r\n$9\r\nid\r\n", nil, io.ErrUnexpectedEOF},
		{"a header line cut short", "*1", nil, io.ErrUnexpectedEOF},
		{"another type", "+OK\r\n", nil, ErrMalformed},
		{"an array inside an array", "*1\r\n*1\r\n", nil, ErrMalformed},
		{"too many strings", "*9\r\n", nil, ErrMalformed},
		{"a null array", "*-1\r\n", nil, ErrMalformed},
		{"a string too large", "*1\r\n$262145\r\n", nil, ErrMalformed},
		{"a null string", "*1\r\n$-1\r\n", nil, ErrMalformed},
		{"a length of too many digits", "*" + strings.Repeat("0", 99), nil, ErrMalformed},
		{"no carriage return", "*1\n", nil, ErrMalformed},
		{"a string longer than its length", "*1\r\n$1\r\nid\r\n", nil, ErrMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			items, err := Read(bufio.NewReader(strings.NewReader(test.in)))
			if !errors.Is(err, test.err) || len(items) != len(test.want) {
				t.Fatalf("read %q, error %v; want %q, error %v", items, err, test.want, test.err)
			}
			for i, want := range test.want {
				if string(items[i]) != want {
					t.Errorf("string %d is %q, want %q", i, items[i], want)
				}
			}
		})
	}
}

func TestReadErrorText(t *testing.T) {
	_, err := Read(bufio.NewReader(strings.NewReader("+OK\r\n")))
	if want := "resp: malformed: type byte '+', want '*'"; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

func TestWrite(t *testing.T) {
	got := string(AppendString(AppendString(AppendArrayHeader(nil, 2), "abort"), []byte("")))
	if want := "*2\r\n$5\r\nabort\r\n$0\r\n\r\n"; got != want {
		t.Errorf("encoded as %q, want %q", got, want)
	}
}
