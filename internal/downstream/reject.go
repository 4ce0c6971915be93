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

// rejectionLogInterval is the least time between two events about rejected connections.
const rejectionLogInterval = 10 * time.Second

// rejectionLog counts the connections rejected at limits that the operator has set. Its owner has a lock
// for it.
type rejectionLog struct {
	total     int
	emittedAt time.Time
}

// logRejection emits that connections are rejected at a limit that the operator has set, once in a while.
func (s *Server) logRejection(verdict idle.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections.total++
	if time.Since(s.rejections.emittedAt) < rejectionLogInterval {
		return
	}
	s.emit(ConnectionsRejected{Limit: limitOf(verdict), Total: s.rejections.total})
	s.rejections.emittedAt = time.Now()
}

// limitOf names the limit of a verdict.
func limitOf(verdict idle.Verdict) string {
	if verdict == idle.ClientLimitReached {
		return limitOfClient
	}
	return limitOfNetwork
}

// reject ends a connection that gets no slot, as a limit that the operator has set is reached, or its
// client has closed it while it waited: each request that has come, or comes soon, is rejected. Where many
// are being rejected already it is closed at once, so that a flood of them is no load of its own.
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

// rejectRequests rejects the requests on a connection until requestGracePeriod is over, and lingers.
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
	lingerOn(conn, closeNotifyTimeout)
}
