package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"tealpath/internal/neterr"
	"tealpath/internal/router"

	"golang.org/x/sync/errgroup"
)

// dialFunc has the signature of net.Dialer.DialContext; tests replace it to inject errors.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connection is one connection to an endpoint. Requests can be queued on it as soon as dialling begins.
type connection struct {
	pool   *Pool
	id     router.ConnectionID
	cancel context.CancelFunc // closes the connection, or ends the attempt to establish it
	wake   chan struct{}      // holds an element if the writer has to check the queue

	mu        sync.Mutex
	queue     []queueItem // guarded by mu; commands of which no byte has been written
	partial   string      // guarded by mu; ID of the partially written request; "": none
	withdrawn []string    // guarded by mu; IDs of removed requests whose AttemptWithdrawn is not posted yet
}

func newConnection(pool *Pool, id router.ConnectionID, cancel context.CancelFunc) *connection {
	return &connection{pool: pool, id: id, cancel: cancel, wake: make(chan struct{}, 1)}
}

// run opens the connection, then reads and writes until either fails or ctx ends. It returns the first error, which is
// never nil.
func (c *connection) run(ctx context.Context, effect router.Dial) error {
	dialled, err := c.dial(ctx, effect)
	if err != nil {
		return err
	}
	conn := neterr.Conn{Conn: dialled}
	defer neterr.Close(conn)
	c.pool.post(router.ConnectionUp{Connection: c.id})
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { neterr.Close(conn) })
	defer stop()
	group.Go(func() error { return c.read(conn) })
	group.Go(func() error { return c.write(ctx, conn) })
	return group.Wait()
}

func (c *connection) dial(ctx context.Context, effect router.Dial) (net.Conn, error) {
	if effect.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(effect.Timeout))
		defer cancel()
		ctx = limited
	}
	return c.pool.dial(ctx, "tcp", effect.Address)
}

// down returns the ConnectionDown event for a connection that ended with err. Its Cause is router.Local if err is a
// local error.
func (c *connection) down(err error) router.ConnectionDown {
	event := router.ConnectionDown{Connection: c.id, Unsent: c.unsent()}
	if err != nil {
		event.Reason = err.Error()
	}
	if neterr.IsLocal(err) {
		event.Cause = router.Local
	}
	return event
}
