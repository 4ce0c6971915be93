package testcluster

import (
	"net"
	"strings"
	"time"
)

const (
	healthTimeout = time.Second

	// healthyField is the encoding of field 3 of a health response, a boolean, if it is true.
	healthyField = "\x02\x00\x03\x01"
)

// IsHealthy reports whether a router says that it is ready for clients.
func IsHealthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, healthTimeout)
	if err != nil {
		return false
	}
	defer closeAll(conn)
	frame, err := requestHealth(conn, healthTimeout)
	return err == nil && strings.Contains(string(frame), healthyField)
}

// CheckHealth sends a health request to a router on a connection. It returns an error unless a response arrives in
// time, whatever the response says.
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

// IsListening reports whether connections to an address are accepted.
func IsListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, healthTimeout)
	if err != nil {
		return false
	}
	closeAll(conn)
	return true
}
