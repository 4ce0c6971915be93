package server

import (
	"context"
	"errors"
)

// errNoAnswer is a query that the cluster's loop did not answer in time.
var errNoAnswer = errors.New("the instance does not answer in time")

// leaseStatus handles LeasesCommand: it returns a cluster.Status.
func (node *clusterNode) leaseStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.leaseQueries)
}

// memberStatus handles MembersCommand: it returns a cluster.MembersStatus.
func (node *clusterNode) memberStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.memberQueries)
}

// query sends a query to the cluster's loop, which owns the reducer, and returns the answer. An error is
// errNoAnswer.
func query[T any](ctx context.Context, queries chan<- chan T) (any, error) {
	reply := make(chan T, 1)
	select {
	case queries <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errNoAnswer
	}
}
