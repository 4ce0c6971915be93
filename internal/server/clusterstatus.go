package server

import (
	"context"
	"errors"
)

// errNoAnswer reports that the cluster's loop did not take a query before the command's timeout.
var errNoAnswer = errors.New("the instance's cluster loop did not take the query before the command's timeout")

// leaseStatus handles LeasesCommand: it returns a cluster.Status.
func (node *clusterNode) leaseStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.leaseQueries)
}

// memberStatus handles MembersCommand: it returns a cluster.MembersStatus.
func (node *clusterNode) memberStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.memberQueries)
}

// query sends a query to the cluster's loop, which owns the reducer, and returns the answer. If the loop does not take
// the query before ctx ends, the error is errNoAnswer.
func query[T any](ctx context.Context, queries chan<- chan T) (any, error) {
	reply := make(chan T, 1)
	select {
	case queries <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errNoAnswer
	}
}
