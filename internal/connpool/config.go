package connpool

import "fmt"

// Config describes the router that a Plan is for, and the limits of each cache that the Plan stays within.
type Config struct {
	Router         string  // name of the router; its subset depends on this name and those of the caches
	Seed           uint64  // seed of the plan's random numbers
	Routers        int     // number of routers in the location, according to the settings
	MaxConnections int     // maximum number of connections that a cache accepts from all routers together
	MaxConnectRate float64 // new connections per second that a cache accepts from all routers together; 0: no limit
}

// maxConnectDuration limits how long all routers together may take to open one connection each to a cache. A cache
// that starts is idle for about that long.
const maxConnectDuration = 30 * second

// MaxConnectionsError reports a Config whose MaxConnections is less than 1.
type MaxConnectionsError struct {
	MaxConnections int
}

func (e *MaxConnectionsError) Error() string {
	return fmt.Sprintf("each cache accepts %d connections, at least 1 is required", e.MaxConnections)
}

// ConnectRateError reports a Config with which all routers take longer than maxConnectDuration to open one
// connection each to a cache.
type ConnectRateError struct {
	Routers        int
	MaxConnectRate float64 // new connections per second that a cache accepts from all routers together
}

func (e *ConnectRateError) Error() string {
	return fmt.Sprintf("%d routers take %.0f s to open one connection each at %g a second; at most %d s are allowed",
		e.Routers, float64(e.Routers)/e.MaxConnectRate, e.MaxConnectRate, maxConnectDuration/second)
}

// Check returns a *MaxConnectionsError or a *ConnectRateError if no plan can stay within the configured limits.
func (c Config) Check() error {
	if c.MaxConnections < 1 {
		return &MaxConnectionsError{MaxConnections: c.MaxConnections}
	}
	if c.MaxConnectRate > 0 && float64(c.Routers)/c.MaxConnectRate > float64(maxConnectDuration/second) {
		return &ConnectRateError{Routers: c.Routers, MaxConnectRate: c.MaxConnectRate}
	}
	return nil
}
