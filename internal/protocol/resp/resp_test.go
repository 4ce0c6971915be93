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
		{"words", "*3\r\n$2\r\nid\r\n$0\r\n\r\n$4\r\na\r\nb\r\n", []string{"id", "", "a\r\nb"}, nil},
		{"none", "*0\r\n", nil, nil},
		{"ended", "", nil, io.EOF},
		{"ended inside", "*2\r\n$2\r\nid\r\n", nil, io.ErrUnexpectedEOF},
		{"a body cut short", "*1\r\n$9\r\nid\r\n", nil, io.ErrUnexpectedEOF},
		{"a head cut short", "*1", nil, io.ErrUnexpectedEOF},
		{"another type", "+OK\r\n", nil, ErrForm},
		{"an array within", "*1\r\n*1\r\n", nil, ErrForm},
		{"too many", "*9\r\n", nil, ErrForm},
		{"no value", "*-1\r\n", nil, ErrForm},
		{"a string too large", "*1\r\n$262145\r\n", nil, ErrForm},
		{"a string of negative length", "*1\r\n$-1\r\n", nil, ErrForm},
		{"an endless length", "*" + strings.Repeat("0", 99), nil, ErrForm},
		{"no carriage return", "*1\n", nil, ErrForm},
		{"a string longer than told", "*1\r\n$1\r\nid\r\n", nil, ErrForm},
	} {
		t.Run(test.name, func(t *testing.T) {
			items, err := Read(bufio.NewReader(strings.NewReader(test.in)))
			if !errors.Is(err, test.err) || len(items) != len(test.want) {
				t.Fatalf("%q, %v", items, err)
			}
			for i, want := range test.want {
				if string(items[i]) != want {
					t.Errorf("%q, want %q", items[i], want)
				}
			}
		})
	}
}

func TestErrorSaysWhatIsWrong(t *testing.T) {
	_, err := Read(bufio.NewReader(strings.NewReader("+OK\r\n")))
	if want := "resp: malformed: '+' where '*' belongs"; err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

func TestWrite(t *testing.T) {
	got := string(Text(Text(Head(nil, 2), "abort"), []byte("")))
	if want := "*2\r\n$5\r\nabort\r\n$0\r\n\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
