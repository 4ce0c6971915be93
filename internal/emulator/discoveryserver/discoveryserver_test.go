package discoveryserver

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// A call counts as notified once it was sent every event, and only while it is open.
func TestNotified(t *testing.T) {
	service, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	service.Publish(`{"pos":%d}`)
	waitForNotified(t, service, 0)

	first, second := watch(t, service, 0), watch(t, service, 1)
	waitForNotified(t, service, 1) // the second asked behind the only event, so it was sent none
	service.Publish(`{"pos":%d}`)
	waitForNotified(t, service, 2)
	for left, conn := range []net.Conn{second, first} {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		waitForNotified(t, service, 1-left)
	}
}

// watch calls the service behind an event, and reads nothing.
func watch(t *testing.T, service *Service, position int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", service.Address())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /journal HTTP/1.1\r\n%s%d\r\n\r\n", lastEventHeader, position); err != nil {
		t.Fatal(err)
	}
	return conn
}

func waitForNotified(t *testing.T, service *Service, want int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for service.Notified() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls were sent every event, not %d", service.Notified(), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
