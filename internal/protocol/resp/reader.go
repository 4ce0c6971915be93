package resp

import (
	"bufio"
	"errors"
	"io"
	"strconv"
)

// Read reads one array of bulk strings and returns the strings. It returns io.EOF if the input ends before the array
// begins, and io.ErrUnexpectedEOF if it ends inside the array.
func Read(in *bufio.Reader) ([][]byte, error) {
	count, err := readLength(in, arrayType, MaxItems)
	if err != nil {
		return nil, err
	}
	items := make([][]byte, count)
	for i := range items {
		items[i], err = readString(in)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return items, nil
}

// readString reads one bulk string and returns its bytes, without header line and line end.
func readString(in *bufio.Reader) ([]byte, error) {
	size, err := readLength(in, stringType, MaxStringSize)
	if err != nil {
		return nil, err
	}
	item := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(in, item); err != nil {
		return nil, err
	}
	if string(item[size:]) != lineEnd {
		return nil, malformed("string of %d bytes is followed by %q, want %q", size, item[size:], lineEnd)
	}
	return item[:size:size], nil // without spare capacity, so that appending to it copies
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, for input that ends inside an array.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads the header line of an array or string, and returns the length in it: a number of strings or of
// bytes. It returns an error if the line does not begin with typeByte or the length is above limit.
func readLength(in *bufio.Reader, typeByte byte, limit int) (int, error) {
	first, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != typeByte {
		return 0, malformed("type byte %q, want %q", first, typeByte)
	}
	digits, err := readDigits(in)
	if err != nil {
		return 0, err
	}
	length, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil || int(length) > limit {
		return 0, malformed("length %q, want a number from 0 to %d", digits, limit)
	}
	return int(length), nil
}

// readDigits reads a header line after its type byte, and returns the characters before the line end.
func readDigits(in *bufio.Reader) ([]byte, error) {
	line := make([]byte, 0, maxLengthDigits)
	for {
		next, err := in.ReadByte()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if next == '\n' {
			break
		}
		if len(line) == maxLengthDigits {
			return nil, malformed("length that begins with %q has more than %d characters", line, maxLengthDigits-1)
		}
		line = append(line, next)
	}
	last := len(line) - 1
	if last < 0 || line[last] != '\r' {
		return nil, malformed("length %q does not end with CR LF", line)
	}
	return line[:last], nil
}
