package downstream

import (
	"testing"
	"time"
)

// A client that cancels each of its requests at once must not have any number of them started. Beyond a number of
// recent cancels its requests are rejected; later it may go on.
func TestRequestsAfterManyCancelsAreRejected(t *testing.T) {
	config := smallConfig
	config.MaxRequestsPerConnection = 4
	server, events := startServer(t, config)
	conn := dial(t, server)
	for seq := range byte(maxRecentCancelsFactor * 4) {
		send(t, conn, emptyCall(uint32(seq)))
		send(t, conn, cancelOf(seq))
		expectEvents(t, events, "RequestReceived", "RequestCancelled")
	}
	const first, excess = 20, maxExcessRequests + 2
	for seq := byte(first); seq < first+excess; seq++ {
		send(t, conn, emptyCall(uint32(seq)))
		expectResponse(t, conn, rejectionOf(seq))
	}
	time.Sleep(time.Duration(recentCancelDuration))
	send(t, conn, emptyCall(50))
	expectEvents(t, events, "RequestReceived")
	respondServed(server, 1, 50)
	expectResponse(t, conn, "whole")
}
