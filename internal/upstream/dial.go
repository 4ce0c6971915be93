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

// dialFunc opens a connection, as net.Dialer.DialContext does; tests put errors of the system in its place.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connection is one connection to an endpoint, from the moment that it is dialled. Requests queue on it from
// then on.
type connection struct {
	pool   *Pool
	id     router.ConnectionID
	cancel context.CancelFunc // closes it
	wake   chan struct{}      // of one slot: something has been queued

	mu        sync.Mutex
	queue     []queueItem // guarded by mu; nothing of these has been written
	partial   string      // guarded by mu; the request that is written in part, or empty
	withdrawn []string    // guarded by mu; requests taken out of the queue, until AttemptWithdrawn has been posted
}

func newConnection(pool *Pool, id router.ConnectionID, cancel context.CancelFunc) *connection {
	return &connection{pool: pool, id: id, cancel: cancel, wake: make(chan struct{}, 1)}
}

// run dials, then reads and writes until either fails. It returns the first error.
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

// down returns the event for the end of the connection by an error.
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
