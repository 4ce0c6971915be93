package server

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"tealpath/internal/neterr"
	"time"
)

const (
	// listenTimeout is for how long an address that is in use is tried again.
	listenTimeout = time.Second

	// listenRetryInterval is between two tries.
	listenRetryInterval = listenTimeout / 20
)

// clientKeepAlive is how the system asks whether a client is there: a peer that vanished is found within
// 150 s, as with Go's own interval of 15 s. At that a hundred thousand idle connections took 6,700 segments
// a second to be asked.
var clientKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     90 * time.Second,
	Interval: 20 * time.Second,
	Count:    3,
}

// listenWithRetry opens a listener. At a restart the process before may not have released the address yet.
// If a shutdown is requested meanwhile, there is no listener and no error.
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

// isTransientListenError tells whether an address that could not be listened on may be had in a moment:
// another process releases it, or what this machine lacks.
func isTransientListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || neterr.IsExhausted(err)
}

// discard closes a listener or connection that is given up: that it could not be closed cleanly changes
// nothing.
func discard(closer io.Closer) { _ = closer.Close() }
