package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"tealpath/internal/neterr"
	"tealpath/internal/protocol/resp"
)

// ErrNotSent is returned for a health check that was not written, because MayWrite returned false or because of a
// local error while opening the connection. It says nothing about the endpoint's health.
var ErrNotSent = errors.New("health check not sent")

// HealthCheck says which endpoint to check and how to read its response.
type HealthCheck struct {
	Address          string      // address of the endpoint, as host:port
	ID               string      // ID of the check, which the response must repeat
	LoadReportFields []string    // names of the values that CheckHealth returns, in this order
	MayWrite         func() bool // called just before the check is written; false: don't write it
}

// CheckHealth sends a health check on a new connection. It returns the load report, or nil if the response has none.
// MayWrite is called only after the connection is established, because dialling takes time and the process may have
// been suspended in the meantime.
func CheckHealth(ctx context.Context, check HealthCheck) ([]float64, error) {
	return checkHealth(ctx, new(net.Dialer).DialContext, check)
}

func checkHealth(ctx context.Context, dial dialFunc, check HealthCheck) ([]float64, error) {
	dialled, err := dial(ctx, "tcp", check.Address)
	if neterr.IsLocal(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	conn := neterr.Conn{Conn: dialled}
	defer neterr.Close(conn)
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if !check.MayWrite() {
		return nil, ErrNotSent
	}
	if _, err := conn.Write(encodeAlive(check.ID)); err != nil {
		return nil, err
	}
	words, err := resp.Read(bufio.NewReader(conn))
	if err != nil {
		return nil, err
	}
	return check.decode(words)
}

// decode returns the load report in the response to a health check, or nil if it has none. It returns an error if the
// response does not answer this check.
func (check HealthCheck) decode(words [][]byte) ([]float64, error) {
	if len(words) < 2 || string(words[0]) != check.ID || string(words[1]) != wordAlive {
		return nil, fmt.Errorf("response %.40q does not answer health check %q: want its ID and %q",
			words, check.ID, wordAlive)
	}
	if len(words) == 2 {
		return nil, nil
	}
	for field := range strings.SplitSeq(string(words[2]), ",") {
		if report, ok := strings.CutPrefix(field, fieldLoadReport+"="); ok {
			return decodeLoadReport(report, check.LoadReportFields), nil
		}
	}
	return nil, nil
}
