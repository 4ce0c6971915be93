package downstream

import (
	"net"
	"slices"
	"testing"
	"time"

	"tealpath/internal/router"
	"tealpath/internal/testkit"
)

// startBlockingServer starts a server whose router takes no more requests until release is closed, once it has taken
// the first one. The channel receives all events that the router takes.
func startBlockingServer(t *testing.T) (server *Server, events chan router.Event, release chan struct{}) {
	t.Helper()
	events, release = make(chan router.Event, 100), make(chan struct{})
	taken := make(chan struct{}, 1)
	server = New(listen(t), smallConfig, handling(func(event router.Event) {
		if _, isRequest := event.(router.RequestReceived); isRequest {
			select {
			case taken <- struct{}{}:
			default:
				<-release
			}
		}
		events <- event
	}), ignoreEvents)
	run(t, server)
	return server, events, release
}

// peerDepartures are the ways in which a client can leave.
var peerDepartures = []struct {
	name   string
	depart func(*testing.T, net.Conn)
}{
	{"closes its side", closeWrite},
	{"closes", func(t *testing.T, conn net.Conn) { testkit.Close(conn) }},
	{"resets", reset},
}

// If a client leaves while the router takes no requests, its request in flight must get no further attempts, and its
// unread requests must not be forwarded later: they were sent to caches seconds after the client had gone.
func TestUnreadRequestsOfDepartedClientsAreNotForwarded(t *testing.T) {
	for _, test := range peerDepartures {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, events, release := startBlockingServer(t)
			conn := dial(t, server)
			send(t, conn, slices.Concat(emptyCall(1), emptyCall(2), emptyCall(3), emptyCall(4)))
			expectRequest(t, events, 1)
			time.Sleep(2 * departureCheckInterval) // the reader waits with request 2
			departed := time.Now()
			test.depart(t, conn)
			event := testkit.Receive(t, events, testTimeout, "ClientHalfClosed")
			if _, ok := event.(router.ClientHalfClosed); !ok {
				t.Fatalf("event %#v, want ClientHalfClosed", event)
			}
			if took := time.Since(departed); took > maxCloseEventDelay {
				t.Errorf("ClientHalfClosed posted after %v, want within %v", took, maxCloseEventDelay)
			}
			time.Sleep(maxCloseEventDelay)
			close(release)
			expectRequest(t, events, 2) // handed over before the client left: the event loop checks it
			server.Respond(router.Respond{Client: 1, Seq: 1, Kind: router.Rejected})
			server.Respond(router.Respond{Client: 1, Seq: 2, Kind: router.Rejected})
			event = testkit.Receive(t, events, testTimeout, "ClientDisconnected")
			if event != (router.ClientDisconnected{Client: 1}) {
				t.Errorf("event %#v, want ClientDisconnected after request 2", event)
			}
		})
	}
}

// A client that has closed its sending side behind unread requests, and still reads, gets a rejection for each of them.
func TestUnreadRequestsOfHalfClosedClientAreRejected(t *testing.T) {
	t.Parallel()
	server, events, release := startBlockingServer(t)
	conn := dial(t, server)
	send(t, conn, slices.Concat(emptyCall(1), emptyCall(2), emptyCall(3), emptyCall(4)))
	closeWrite(t, conn)
	expectRequest(t, events, 1)
	time.Sleep(2 * maxCloseEventDelay)
	close(release)
	for _, seq := range []byte{3, 4} {
		expectResponse(t, conn, rejectionOf(seq))
	}
	respondInTurn(t, server, conn, 1, 2)
}

// expectRequest checks that the next event is the request with a sequence number.
func expectRequest(t *testing.T, events <-chan router.Event, seq int32) {
	t.Helper()
	event := testkit.Receive(t, events, testTimeout, "an event")
	if request, ok := event.(router.RequestReceived); !ok || request.Seq != seq {
		t.Fatalf("event %#v, want request %d", event, seq)
	}
}
