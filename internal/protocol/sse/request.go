package sse

import (
	"fmt"
	"io"
)

// WriteRequest writes the HTTP request for an event stream at host and path. The server is to send the events after
// the one with the ID lastID.
func WriteRequest(out io.Writer, host, path, lastID string) error {
	_, err := fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n"+
		"Cache-Control: no-cache\r\nLast-Event-ID: %s\r\n\r\n", path, host, lastID)
	return err
}
