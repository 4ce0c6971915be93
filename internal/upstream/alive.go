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

// ErrWithdrawn is a probe that was not written, as it may no longer be, or as this machine could open no connection.
var ErrWithdrawn = errors.New("withdrawn before it was written")

// Alive asks a member whether it is there, on a connection of its own, and gives the load report if its answer holds
// one, in the order of the names. may is asked immediately before the request is written: dialling takes time, and the
// process may have stood still.
func Alive(ctx context.Context, address, tag string, report []string, may func() bool) ([]float64, error) {
	return alive(ctx, new(net.Dialer).DialContext, address, tag, report, may)
}

func alive(ctx context.Context, dial dialFunc, address, tag string, report []string, may func() bool) ([]float64, error) {
	dialled, err := dial(ctx, "tcp", address)
	if neterr.IsLocal(err) {
		return nil, fmt.Errorf("%w: %w", ErrWithdrawn, err) // this machine could not ask: that says nothing of the member
	}
	if err != nil {
		return nil, err
	}
	conn := neterr.Conn{Conn: dialled}
	defer conn.Close()
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	out := resp.Text(resp.Text(resp.Head(nil, 2), "alive"), tag)
	if !may() {
		return nil, ErrWithdrawn
	}
	if _, err := conn.Write(out); err != nil {
		return nil, err
	}
	words, err := resp.Read(bufio.NewReader(conn))
	if err != nil {
		return nil, err
	}
	if len(words) < 2 || string(words[0]) != tag || string(words[1]) != "green" {
		return nil, fmt.Errorf("%d words that are no answer to it", len(words))
	}
	if len(words) > 2 {
		for f := range strings.SplitSeq(string(words[2]), ",") {
			if use, ok := strings.CutPrefix(f, "use="); ok {
				return load(use, report), nil
			}
		}
	}
	return nil, nil
}
