package downstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/neterr"
	"tealpath/internal/protocol/thrift"
)

// rejectionLogInterval is the minimum time between two ConnectionsRejected events.
const rejectionLogInterval = 10 * time.Second

// rejectionLog holds the number of connections that were rejected because of limits set by the operator, and the time
// of the last ConnectionsRejected event. It is guarded by Server.mu.
type rejectionLog struct {
	total     int
	emittedAt time.Time
}

// logRejection counts a connection that is rejected because of a limit set by the operator. It emits an event
// unless the last one was emitted less than rejectionLogInterval ago.
func (s *Server) logRejection(verdict idle.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections.total++
	if time.Since(s.rejections.emittedAt) < rejectionLogInterval {
		return
	}
	s.emit(ConnectionsRejected{Limit: limitOfVerdict(verdict), Total: s.rejections.total})
	s.rejections.emittedAt = time.Now()
}

// limitOfVerdict returns the value of ConnectionsRejected.Limit for a connection that got the verdict.
func limitOfVerdict(verdict idle.Verdict) string {
	if verdict == idle.ClientLimitReached {
		return limitOfClient
	}
	return limitOfNetwork
}

// reject ends a connection that gets no slot, because a limit set by the operator is reached or because its
// client has closed it while it waited. Each request that has arrived, or arrives soon, is rejected. If many
// connections are being rejected already, the connection is closed at once, so that a flood of such
// connections causes little load.
func (s *Server) reject(ctx context.Context, conn net.Conn) {
	if s.rejecting.Add(1) > int64(s.config.MaxConnections/closingDivisor)+1 {
		s.rejecting.Add(-1)
		neterr.Close(conn)
		return
	}
	s.goroutines.Go(func() {
		defer s.rejecting.Add(-1)
		defer neterr.Close(conn)
		stop := context.AfterFunc(ctx, func() { neterr.Close(conn) })
		defer stop()
		rejectRequests(conn)
	})
}

// rejectRequests rejects each request on a connection until requestGracePeriod has passed or the client has closed its
// side. It then closes the sending side and discards what the client still sends.
func rejectRequests(conn net.Conn) {
	deadline := time.Now().Add(requestGracePeriod)
	setReadDeadline(conn, deadline)
	setWriteDeadline(conn, deadline)
	in := bufio.NewReaderSize(neterr.Reader{From: conn}, maxHeaderBytes)
	for m, err := readHeader(in); err == nil; m, err = readHeader(in) {
		if !isRequest(m) {
			continue
		}
		response := net.Buffers(thrift.EncodeResponse(rejection(m.Seq)))
		if err := writeAll(conn, &response); err != nil {
			return
		}
	}
	halfCloseAndDiscard(conn, closeNotifyTimeout)
}
