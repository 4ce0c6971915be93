package resp

import (
	"bufio"
	"errors"
	"io"
	"strconv"
)

// Read reads one array. The error is io.EOF if the input ends before the array begins, and io.ErrUnexpectedEOF
// if it ends within.
func Read(in *bufio.Reader) ([][]byte, error) {
	count, err := readLength(in, arrayMark, MaxItems)
	if err != nil {
		return nil, err
	}
	items := make([][]byte, count)
	for i := range items {
		items[i], err = readString(in)
		if err != nil {
			return nil, endWithin(err)
		}
	}
	return items, nil
}

// readString reads one bulk string.
func readString(in *bufio.Reader) ([]byte, error) {
	size, err := readLength(in, stringMark, MaxStringSize)
	if err != nil {
		return nil, err
	}
	item := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(in, item); err != nil {
		return nil, err
	}
	if string(item[size:]) != lineEnd {
		return nil, formError("no line end behind a string")
	}
	return item[:size:size], nil // an append to it must not overwrite anything
}

// endWithin makes an end of the input within an array an unexpected one.
func endWithin(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads a line of a mark and a number from 0 to limit.
func readLength(in *bufio.Reader, mark byte, limit int) (int, error) {
	first, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != mark {
		return 0, formError("%q where %q belongs", first, mark)
	}
	digits, err := readDigits(in)
	if err != nil {
		return 0, err
	}
	length, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil || int(length) > limit {
		return 0, formError("length %q", digits)
	}
	return int(length), nil
}

// readDigits reads the rest of a line and returns it without its end.
func readDigits(in *bufio.Reader) ([]byte, error) {
	line := make([]byte, 0, maxLengthDigits)
	for {
		next, err := in.ReadByte()
		if err != nil {
			return nil, endWithin(err)
		}
		if next == '\n' {
			break
		}
		if len(line) == maxLengthDigits {
			return nil, formError("a length too long")
		}
		line = append(line, next)
	}
	last := len(line) - 1
	if last < 0 || line[last] != '\r' {
		return nil, formError("no line end")
	}
	return line[:last], nil
}
