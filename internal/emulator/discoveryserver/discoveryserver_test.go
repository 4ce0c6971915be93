package discoveryserver

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// A call counts as notified from the moment the last event is sent to it until the call is closed.
func TestNotified(t *testing.T) {
	service, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	service.Publish(`{"pos":%d}`)
	waitForNotified(t, service, 0)

	first, second := watch(t, service, 0), watch(t, service, 1)
	waitForNotified(t, service, 1) // the second call already has the only event, so nothing is sent to it
	service.Publish(`{"pos":%d}`)
	waitForNotified(t, service, 2)
	for closedBefore, conn := range []net.Conn{second, first} {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		waitForNotified(t, service, 1-closedBefore)
	}
}

// watch opens a call for the events after lastEventID and does not read the response.
func watch(t *testing.T, service *Service, lastEventID int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", service.Address())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /journal HTTP/1.1\r\n%s%d\r\n\r\n", lastEventHeader, lastEventID); err != nil {
		t.Fatal(err)
	}
	return conn
}

func waitForNotified(t *testing.T, service *Service, want int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for service.Notified() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%d notified calls, want %d", service.Notified(), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
