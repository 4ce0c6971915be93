package upstream

import (
	"bufio"
	"errors"
	"net"
	"time"

	"tealpath/internal/protocol/resp"
)

const (
	// stallTimeout bounds the time between two reads inside a response; it leaves time to retransmit a lost
	// segment. Without it, a stalled response would block the other requests on its connection until their
	// deadlines.
	stallTimeout = 250 * time.Millisecond

	// responseTimeSlack is the factor by which a response may take longer than at MinResponseRate, because other
	// responses share the network path.
	responseTimeSlack = 4
)

// responseTimeout returns the time allowed for receiving a whole response, from its first byte, if responses arrive
// with at least bytesPerSecond; 0 is unlimited. Without this limit, a response that arrives very slowly would block
// the other requests on its connection until their deadlines.
func responseTimeout(bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return stallTimeout + time.Duration(responseTimeSlack*resp.MaxStringSize/bytesPerSecond*float64(time.Second))
}

// responseReader sets a deadline on each read inside a response: stallTimeout from now, or completeBy if that is
// earlier. Between responses it has no deadline.
type responseReader struct {
	net.Conn
	inResponse bool
	completeBy time.Time // time by which the response must be complete; zero: unlimited
}

// Read implements io.Reader. Inside a response it fails once the deadline has passed.
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

// begin starts the deadlines of a response, which must be complete within timeout; 0 is unlimited.
func (r *responseReader) begin(timeout time.Duration) {
	r.inResponse = true
	r.completeBy = time.Time{}
	if timeout > 0 {
		r.completeBy = time.Now().Add(timeout)
	}
}

// read posts the responses that it receives. It returns an error once the connection has ended, or if the input is
// malformed or stalls.
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
		// The response is posted even if err is a FieldError: its result is then ServerError.
		response, err := decodeResponse(words, c.pool.loadReportFields)
		if errors.Is(err, errNoResponse) {
			continue
		}
		response.Connection = c.id
		c.pool.post(response)
	}
}
