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
	// listenTimeout is how long listening on an address is retried after transient errors.
	listenTimeout = time.Second

	// listenRetryInterval is the time between two attempts to listen.
	listenRetryInterval = listenTimeout / 20
)

// clientKeepAlive configures TCP keep-alive on clients' connections. A peer that has vanished is detected after
// Idle + Count*Interval = 150 s, as with Go's defaults. Those defaults would send a probe every 15 s, which is 6,700
// probes per second for 100,000 idle connections.
var clientKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     90 * time.Second,
	Interval: 20 * time.Second,
	Count:    3,
}

// listenWithRetry opens a listener. It retries for listenTimeout after transient errors, because after a restart the
// previous process may not have released the address yet. If a shutdown is requested while it waits for a retry, it
// returns neither a listener nor an error.
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

// isTransientListenError reports whether listening may succeed soon: when another process has released the address, or
// when this machine has descriptors and memory again.
func isTransientListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || neterr.IsExhausted(err)
}

// discard closes a listener or connection that is no longer used. An error of Close has no consequence and is ignored.
func discard(closer io.Closer) { _ = closer.Close() }
