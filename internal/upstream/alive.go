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

// ErrNotSent is a probe that was not written, as it may no longer be, or as this machine could open no
// connection.
var ErrNotSent = errors.New("withdrawn before it was written")

// HealthCheck is one question to an endpoint whether it is alive.
type HealthCheck struct {
	Address          string      // host:port
	ID               string      // the response repeats it
	LoadReportFields []string    // names of the load report's fields, in the order in which they are returned
	MayWrite         func() bool // called immediately before the request is written
}

// CheckHealth asks an endpoint whether it is alive, on a connection of its own. It returns the load report if
// the response has one. MayWrite is asked immediately before the request is written, because dialling takes
// time and the process may have been suspended meanwhile.
func CheckHealth(ctx context.Context, check HealthCheck) ([]float64, error) {
	return checkHealth(ctx, new(net.Dialer).DialContext, check)
}

func checkHealth(ctx context.Context, dial dialFunc, check HealthCheck) ([]float64, error) {
	dialled, err := dial(ctx, "tcp", check.Address)
	if neterr.IsLocal(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err) // this machine could not ask: that says nothing of the member
	}
	if err != nil {
		return nil, err
	}
	conn := neterr.Conn{Conn: dialled}
	defer conn.Close()
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	out := resp.Text(resp.Text(resp.Head(nil, 2), "alive"), check.ID)
	if !check.MayWrite() {
		return nil, ErrNotSent
	}
	if _, err := conn.Write(out); err != nil {
		return nil, err
	}
	words, err := resp.Read(bufio.NewReader(conn))
	if err != nil {
		return nil, err
	}
	if len(words) < 2 || string(words[0]) != check.ID || string(words[1]) != "green" {
		return nil, fmt.Errorf("%d words that are no answer to it", len(words))
	}
	if len(words) > 2 {
		for f := range strings.SplitSeq(string(words[2]), ",") {
			if use, ok := strings.CutPrefix(f, "use="); ok {
				return load(use, check.LoadReportFields), nil
			}
		}
	}
	return nil, nil
}
