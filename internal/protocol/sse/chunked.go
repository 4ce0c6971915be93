package sse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// chunkedReader reads an HTTP body in the chunked transfer coding, and returns the body without chunk headers.
type chunkedReader struct {
	in      *bufio.Reader
	left    int64 // number of bytes of the current chunk that are not read yet
	started bool  // false before the first chunk; a line end precedes each later one
}

// Read implements io.Reader. It returns io.EOF after the last chunk.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.left == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.in.Read(p)
	c.left -= int64(n)
	return n, err
}

// nextChunk reads the header of the next chunk and sets left to the chunk's size. It returns io.EOF for the last
// chunk, which is empty.
func (c *chunkedReader) nextChunk() error {
	if c.started {
		if end, err := readLine(c.in); err != nil || len(end) > 0 {
			reason := fmt.Sprintf("chunk is followed by %.20q, want a line end", end)
			return errors.Join(&MalformedError{Reason: reason}, err)
		}
	}
	line, err := readLine(c.in)
	if err != nil {
		return err
	}
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 32)
	if err != nil || size < 0 {
		reason := fmt.Sprintf("chunk size %.20q, want a hexadecimal number from 0 to %x", digits, math.MaxInt32)
		return &MalformedError{Reason: reason}
	}
	c.left, c.started = size, true
	if size == 0 {
		return io.EOF
	}
	return nil
}
