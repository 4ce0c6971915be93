package connpool

import "fmt"

// Config is what a plan is made from.
type Config struct {
	Router         string  // the router's name, which decides its subset
	Seed           uint64  // of its random numbers
	Routers        int     // of the location, by the settings
	MaxConnections int     // of all routers together, that a cache accepts
	MaxConnectRate float64 // connections a second of all routers together, that a cache accepts; 0 is no bound
}

// maxConnectDuration is how long all routers may take to open a connection each. A cache that starts is idle
// for about as long.
const maxConnectDuration = 30 * second

// MaxConnectionsError is a Config in which a cache accepts no connections.
type MaxConnectionsError struct {
	MaxConnections int
}

func (e *MaxConnectionsError) Error() string {
	return fmt.Sprintf("a cache that holds %d connections", e.MaxConnections)
}

// ConnectRateError is a Config by which all routers take too long to open a connection each.
type ConnectRateError struct {
	Routers        int
	MaxConnectRate float64 // connections a second
}

func (e *ConnectRateError) Error() string {
	return fmt.Sprintf("%d routers take %.0f s to open one connection each at %g a second, %d s at most",
		e.Routers, float64(e.Routers)/e.MaxConnectRate, e.MaxConnectRate, maxConnectDuration/second)
}

// Check returns a *MaxConnectionsError or a *ConnectRateError if no plan can keep to the bounds.
func (c Config) Check() error {
	if c.MaxConnections < 1 {
		return &MaxConnectionsError{MaxConnections: c.MaxConnections}
	}
	if c.MaxConnectRate > 0 && float64(c.Routers)/c.MaxConnectRate > float64(maxConnectDuration/second) {
		return &ConnectRateError{Routers: c.Routers, MaxConnectRate: c.MaxConnectRate}
	}
	return nil
}
