package testcluster

import (
	"net"
	"strings"
	"time"
)

const (
	healthTimeout = time.Second

	// healthyField is the encoding of field 3, a boolean, of a health response if it is true.
	healthyField = "\x02\x00\x03\x01"
)

// IsHealthy reports whether a router responds to a health check that it is ready for clients.
func IsHealthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, healthTimeout)
	if err != nil {
		return false
	}
	defer closeAll(conn)
	frame, err := requestHealth(conn, healthTimeout)
	return err == nil && strings.Contains(string(frame), healthyField)
}

// CheckHealth sends a health check on a connection. It returns nil for any response, also if the router is not ready.
func CheckHealth(conn net.Conn, timeout time.Duration) error {
	_, err := requestHealth(conn, timeout)
	return err
}

func requestHealth(conn net.Conn, timeout time.Duration) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if _, err := conn.Write(healthFrame()); err != nil {
		return nil, err
	}
	return readFrame(conn)
}

// IsListening reports whether an address accepts connections.
func IsListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, healthTimeout)
	if err != nil {
		return false
	}
	closeAll(conn)
	return true
}
