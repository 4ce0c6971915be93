package server

import (
	"context"
	"errors"
)

// errNoAnswer is a question to the cluster's reducer that it did not answer in time.
var errNoAnswer = errors.New("the instance does not answer in time")

// leaseStatus answers who holds which leases.
func (node *clusterNode) leaseStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.leaseQueries)
}

// memberStatus answers which instances are believed alive.
func (node *clusterNode) memberStatus(ctx context.Context, _ []string) (any, error) {
	return query(ctx, node.memberQueries)
}

// query has the goroutine of the cluster's reducer answer a query.
func query[T any](ctx context.Context, queries chan<- chan T) (any, error) {
	reply := make(chan T, 1)
	select {
	case queries <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errNoAnswer
	}
}
