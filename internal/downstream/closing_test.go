package downstream

import "testing"

// A client that violates the protocol and goes on sending at full speed must not keep the process busy discarding its
// data. It was read at up to 32 MB a second, and a few hundred such clients took the processor from all others.
func TestDataAfterAProtocolViolationIsReadSlowly(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, smallConfig)
	conn := dial(t, server)
	send(t, conn, frame(1, "unknown", 1, "\x00"))
	const socketBuffers = 16 << 20 // what the system accepts although nothing is read
	reads := maxLingerReads + int(lingerTimeout/sustainedLingerInterval)
	allowed := socketBuffers + reads*lingerReadBytes
	written, chunk := 0, make([]byte, 256<<10)
	for {
		count, err := conn.Write(chunk)
		written += count
		if err != nil {
			break
		}
	}
	if written > allowed {
		t.Errorf("the server took %d bytes after a protocol violation, want at most %d", written, allowed)
	}
}
