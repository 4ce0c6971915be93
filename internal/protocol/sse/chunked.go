package sse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// chunkedReader reads a body in HTTP's chunked coding.
type chunkedReader struct {
	in      *bufio.Reader
	left    int64 // bytes of the current chunk that are not read yet
	started bool  // a chunk has been read, so that a line end precedes the next one
}

// Read reads from the current chunk, or from the next one once that is used up.
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

// nextChunk reads the head of a chunk. The last chunk, which is empty, is io.EOF.
func (c *chunkedReader) nextChunk() error {
	if c.started {
		if end, err := readLine(c.in); err != nil || len(end) > 0 {
			return errors.Join(ErrForm, err)
		}
	}
	line, err := readLine(c.in)
	if err != nil {
		return err
	}
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 32)
	if err != nil || size < 0 {
		return &FormError{Reason: fmt.Sprintf("chunk of %.20q", digits)}
	}
	c.left, c.started = size, true
	if size == 0 {
		return io.EOF
	}
	return nil
}
