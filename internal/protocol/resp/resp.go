// Package resp reads and writes RESP arrays of bulk strings.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits of what is read.
const (
	ItemsMost = 8
	BytesMost = 1 << 18 // of one string; an object has 240,000 at most
	lineMost  = 24
)

// ErrForm is input that is no array of bulk strings.
var ErrForm = errors.New("resp: malformed")

// Read reads one array.
func Read(in *bufio.Reader) ([][]byte, error) {
	n, err := number(in, '*', ItemsMost)
	if err != nil {
		return nil, err
	}
	items := make([][]byte, n)
	for i := range items {
		size, err := number(in, '$', BytesMost)
		if err != nil {
			return nil, inside(err)
		}
		// Read with its line end; the item is cut to its size but keeps no more than that behind it.
		item := make([]byte, size+2)
		if _, err := io.ReadFull(in, item); err != nil {
			return nil, inside(err)
		}
		if item[size] != '\r' || item[size+1] != '\n' {
			return nil, fmt.Errorf("%w: no line end behind a string", ErrForm)
		}
		items[i] = item[:size:size]
	}
	return items, nil
}

// inside turns an end of input within an array into an unexpected one.
func inside(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// number reads a line of a mark and a number from 0 to most.
func number(in *bufio.Reader, mark byte, most int) (int, error) {
	first, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != mark {
		return 0, fmt.Errorf("%w: %q where %q belongs", ErrForm, first, mark)
	}
	digits := make([]byte, 0, lineMost)
	for {
		b, err := in.ReadByte()
		if err != nil {
			return 0, inside(err)
		}
		if b == '\n' {
			break
		}
		if len(digits) == lineMost {
			return 0, fmt.Errorf("%w: a length too long", ErrForm)
		}
		digits = append(digits, b)
	}
	if len(digits) == 0 || digits[len(digits)-1] != '\r' {
		return 0, fmt.Errorf("%w: no line end", ErrForm)
	}
	digits = digits[:len(digits)-1]
	n, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil || int(n) > most {
		return 0, fmt.Errorf("%w: length %q", ErrForm, digits)
	}
	return int(n), nil
}

// Head appends an array's head.
func Head(out []byte, items int) []byte { return line(out, '*', items) }

// Text appends a bulk string.
func Text[T string | []byte](out []byte, item T) []byte {
	return append(append(line(out, '$', len(item)), item...), '\r', '\n')
}

func line(out []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(out, mark), int64(n), 10), '\r', '\n')
}
