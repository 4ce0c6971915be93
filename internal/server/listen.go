package server

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"tealpath/internal/neterr"
)

const (
	// listenTimeout bounds how long listening on an address is retried after a transient error.
	listenTimeout = time.Second

	// listenRetryInterval is the time between two attempts to listen.
	listenRetryInterval = listenTimeout / 20
)

// clientKeepAlive configures TCP keep-alive on clients' connections. A peer that has vanished is detected after
// Idle + Count*Interval = 150 s, as with Go's defaults. But those send a probe every 15 s, which for 100,000 idle
// connections is 6,700 probes a second.
var clientKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     90 * time.Second,
	Interval: 20 * time.Second,
	Count:    3,
}

// listenWithRetry opens a listener, and retries for listenTimeout: after a restart the earlier process may not
// have released the address yet. If a shutdown is requested meanwhile it returns neither a listener nor an error.
func listenWithRetry(
	ctx context.Context, shutdownRequested <-chan struct{}, address string, keepAlive net.KeepAliveConfig,
) (net.Listener, error) {
	listenConfig := net.ListenConfig{KeepAliveConfig: keepAlive}
	for end := time.Now().Add(listenTimeout); ; {
		listener, err := listenConfig.Listen(ctx, "tcp", address)
		if err == nil || !isTransientListenError(err) || time.Now().After(end) {
			return listener, err
		}
		select {
		case <-shutdownRequested:
			return nil, nil // no client has connected yet
		case <-time.After(listenRetryInterval):
		}
	}
}

// isTransientListenError reports whether listening may succeed in a moment: once another process has released the
// address, or the descriptors or the memory that this machine lacks.
func isTransientListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || neterr.IsExhausted(err)
}

// discard closes a listener or connection that is not used any more, so that an error of Close has no
// consequence and is ignored.
func discard(closer io.Closer) { _ = closer.Close() }
