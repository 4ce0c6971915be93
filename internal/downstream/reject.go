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

// rejectionLogInterval is the minimum time between two log events that report the same kind of rejections.
const rejectionLogInterval = 10 * time.Second

// rejectionLog counts rejections of one kind, which are reported together.
type rejectionLog struct {
	total     int
	emittedAt time.Time
}

// add counts a rejection. It reports whether a log event is due, which is at most every rejectionLogInterval.
func (l *rejectionLog) add() bool {
	l.total++
	if time.Since(l.emittedAt) < rejectionLogInterval {
		return false
	}
	l.emittedAt = time.Now()
	return true
}

// logRejection counts and reports a connection that is rejected because of a limit set by the operator.
func (s *Server) logRejection(verdict idle.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejections.add() {
		s.emit(ConnectionsRejected{Limit: limitOfVerdict(verdict), Total: s.rejections.total})
	}
}

// logPartialRejection counts and reports a request that is rejected before it has been received completely. cause is
// why its rest was not awaited.
func (s *Server) logPartialRejection(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partialRejections.add() {
		s.emit(PartialRequestsRejected{Cause: cause.Error(), Total: s.partialRejections.total})
	}
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
	for {
		message, remaining, err := readHeader(in)
		if err != nil {
			break
		}
		// The rejection does not wait for the rest of the request, which may come slowly.
		if isRequest(message) && !writeRejection(conn, message.Seq) {
			return
		}
		if _, err := in.Discard(remaining); err != nil {
			break
		}
	}
	halfCloseAndDiscard(conn, closeNotifyTimeout)
}

// writeRejection rejects the request with a sequence number on a connection without a writer. It reports whether that
// succeeded.
func writeRejection(conn net.Conn, seq int32) bool {
	response := net.Buffers(thrift.EncodeResponse(rejection(seq)))
	return writeAll(conn, &response) == nil
}
