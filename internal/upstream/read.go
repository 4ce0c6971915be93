package upstream

import (
	"bufio"
	"errors"
	"net"
	"time"

	"tealpath/internal/protocol/resp"
)

const (
	// stallTimeout is for how long a response that has begun may bring nothing, a lost segment included. A stalled
	// response would otherwise hold up the other requests on its connection until their deadlines.
	stallTimeout = 250 * time.Millisecond

	// responseTimeSlack is how many times as long as at MinResponseRate a response may take, since other
	// responses share the path.
	responseTimeSlack = 4
)

// responseTimeout returns within which time a response that has begun must be complete; 0 is no bound.
// Without one a response that trickles would hold up the other requests on its connection until their
// deadlines.
func responseTimeout(bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return stallTimeout + time.Duration(responseTimeSlack*resp.MaxStringSize/bytesPerSecond*float64(time.Second))
}

// responseReader bounds reads inside a response, by a stall timeout and by when the response must be
// complete. Between responses it waits without a bound.
type responseReader struct {
	net.Conn
	inResponse bool
	completeBy time.Time // zero: no bound
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	if err := r.SetReadDeadline(r.deadline()); err != nil {
		return 0, err
	}
	return r.Conn.Read(p)
}

func (r *responseReader) deadline() time.Time {
	if !r.inResponse {
		return time.Time{}
	}
	deadline := time.Now().Add(stallTimeout)
	if !r.completeBy.IsZero() && r.completeBy.Before(deadline) {
		return r.completeBy
	}
	return deadline
}

// begin notes that a response has begun, which has to be complete within a time; 0 is no bound.
func (r *responseReader) begin(timeout time.Duration) {
	r.inResponse = true
	r.completeBy = time.Time{}
	if timeout > 0 {
		r.completeBy = time.Now().Add(timeout)
	}
}

// read posts the responses that come until the connection ends.
func (c *connection) read(conn net.Conn) error {
	reader := &responseReader{Conn: conn}
	in := bufio.NewReader(reader)
	for {
		reader.inResponse = false
		if _, err := in.Peek(1); err != nil {
			return err
		}
		reader.begin(c.pool.responseTimeout)
		words, err := resp.Read(in)
		if err != nil {
			return err
		}
		// A response that cannot be used is posted all the same, as an error of the server.
		response, err := decodeResponse(words, c.pool.loadReportFields)
		if errors.Is(err, errNoResponse) {
			continue
		}
		response.Connection = c.id
		c.pool.post(response)
	}
}
