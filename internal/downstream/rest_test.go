package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"tealpath/internal/downstream/idle"
)

// keeping is limits under which idle connections are kept for a span.
func keeping(connections int, span time.Duration) Config {
	return Config{MaxConnections: connections, MaxRequestsPerConnection: 32, MaxBytes: 16 << 20, Cores: 1,
		Policies: &NetworkPolicies{Policies: []idle.Policy{{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(span)}}}}
}

// health asks for health and takes the answer.
func health(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := ask(conn); err != nil {
		t.Fatal(err)
	}
}

func ask(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := conn.Write(message(1, "health", 1, "\x00")); err != nil {
		return err
	}
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, conn, int64(head[2])<<8|int64(head[3]))
	return err
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

func parks(t *testing.T, f *Server) {
	t.Helper()
	if f.idle.poller == nil {
		t.Skip("this system parks nothing")
	}
}

func TestIdleConnectionsHoldNoGoroutine(t *testing.T) {
	f, _ := serving(t, keeping(1000, time.Hour))
	parks(t, f)
	before := runtime.NumGoroutine()
	var conns []net.Conn
	for range 300 {
		conns = append(conns, dial(t, f))
		health(t, conns[len(conns)-1])
	}
	until(t, "all are parked", func() bool { return f.activeConnections() == 0 })
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before 300 idle connections", n, before)
	}
	if f.idle.len() != 300 {
		t.Errorf("%d connections", f.idle.len())
	}
	// All wake in the same moment; each is answered.
	var group sync.WaitGroup
	failed := make(chan error, len(conns))
	for _, c := range conns {
		group.Go(func() {
			if err := ask(c); err != nil {
				failed <- err
			}
		})
	}
	group.Wait()
	close(failed)
	for err := range failed {
		t.Errorf("not answered after its rest: %v", err)
	}
	until(t, "all are parked again", func() bool { return f.activeConnections() == 0 })
	if f.idle.len() != 300 {
		t.Errorf("%d connections after their second rest", f.idle.len())
	}
}

// Those that say nothing rest without a turn, so that the usual client that comes behind them is answered, and what they send
// later is taken like anybody's.
func TestTheSilentAreLaidToRest(t *testing.T) {
	limits := Config{MaxConnections: 1000, MaxRequestsPerConnection: 32, MaxBytes: 1 << 20, Cores: 0.05} // sixty turns a second
	f, _ := serving(t, limits)
	if f.idle.poller == nil {
		t.Fatal("nothing rests on this system")
	}
	var silent []net.Conn
	for range 200 {
		silent = append(silent, dial(t, f))
	}
	usual := dial(t, f)
	usual.Write(message(1, "health", 1, "\x00"))
	if _, err := io.ReadFull(usual, make([]byte, 20)); err != nil {
		t.Fatalf("the usual client: %v", err)
	}
	if c := f.Counts(); c.Suspended < 100 || c.All != 201 {
		t.Errorf("%+v: those that say nothing were taken in, turn by turn", c)
	}
	late := silent[len(silent)-1]
	late.Write(message(1, "health", 1, "\x00"))
	if _, err := io.ReadFull(late, make([]byte, 20)); err != nil {
		t.Errorf("one that asks after it was laid to rest: %v", err)
	}
}

func TestParkedConnectionsEnd(t *testing.T) {
	f, _ := serving(t, keeping(1000, time.Hour))
	parks(t, f)
	closed, reset, half := dial(t, f), dial(t, f), dial(t, f)
	for _, c := range []net.Conn{closed, reset, half} {
		health(t, c)
	}
	until(t, "all are parked", func() bool { return f.activeConnections() == 0 })
	closed.Close()
	reset.(*net.TCPConn).SetLinger(0)
	reset.Close()
	half.(*net.TCPConn).CloseWrite()
	until(t, "descriptors come back", func() bool { return f.idle.len() == 0 })
	if _, err := half.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a client that closed its side reads %v", err)
	}
	// Places are used again, and nothing of before shows on them.
	again := dial(t, f)
	health(t, again)
	until(t, "parked", func() bool { return f.activeConnections() == 0 })
	health(t, again)
}

func TestIdleConnectionsExpireAtThePace(t *testing.T) {
	f, _ := serving(t, keeping(1000, 1500*time.Millisecond))
	parks(t, f)
	var conns []net.Conn
	for range 200 {
		conns = append(conns, dial(t, f))
		health(t, conns[len(conns)-1])
	}
	kept := dial(t, f)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		health(t, kept) // one that asks is not idle
	}
	until(t, "the idle ones are closed", func() bool { return f.idle.len() == 1 })
	for _, c := range conns {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("an expired connection ends with %v", err)
		}
	}
	health(t, kept)
}

// Something comes at the very instant in which a connection makes room: either it is answered, or it ends with nothing.
func TestRequestsThatCrossAClose(t *testing.T) {
	f, _ := serving(t, keeping(40, time.Hour))
	parks(t, f)
	var group sync.WaitGroup
	answered, ended := 0, 0
	var mu sync.Mutex
	for range 40 {
		c := dial(t, f)
		health(t, c)
		group.Go(func() {
			for {
				time.Sleep(1200 * time.Millisecond)
				err := ask(c)
				mu.Lock()
				if err != nil {
					ended++
					mu.Unlock()
					if err != io.EOF && !isReset(err) {
						t.Errorf("half an answer: %v", err)
					}
					return
				}
				if answered++; answered > 60 {
					mu.Unlock()
					return
				}
				mu.Unlock()
			}
		})
	}
	until(t, "all are parked", func() bool { return f.activeConnections() == 0 })
	for range 30 {
		health(t, dial(t, f))
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	if ended == 0 || answered == 0 {
		t.Errorf("%d answered, %d ended: the case is not one", answered, ended)
	}
}

func isReset(err error) bool {
	var op *net.OpError
	return err != nil && (bytes.Contains([]byte(err.Error()), []byte("reset")) || bytes.Contains([]byte(err.Error()), []byte("broken pipe"))) ||
		fmt.Sprintf("%T", err) == fmt.Sprintf("%T", op)
}

// Bytes that trickle in on parked connections hold a frame's time, not a connection's.
func TestTrickleIsNotIdle(t *testing.T) {
	f, _ := serving(t, keeping(100, time.Hour))
	parks(t, f)
	var conns []net.Conn
	for range 20 {
		conns = append(conns, dial(t, f))
		health(t, conns[len(conns)-1])
	}
	until(t, "all are parked", func() bool { return f.activeConnections() == 0 })
	for _, c := range conns {
		c.Write([]byte{0})
	}
	until(t, "each has ended: its frame did not come", func() bool { return f.idle.len() == 0 })
}

func TestNetworksAndClientsHaveBounds(t *testing.T) {
	by := &bart.Table[uint16]{}
	by.Insert(netip.MustParsePrefix("127.0.0.0/8"), 1)
	limits := keeping(100, time.Hour)
	limits.Policies = &NetworkPolicies{ByAddress: by, Policies: []idle.Policy{{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(time.Hour)},
		{FirstRequestTimeout: MaxIdleBeforeFirstRequest, IdleTimeout: int64(time.Hour), MaxConnections: 3, MaxPerClient: 2}}}
	f, _ := serving(t, limits)
	from := func(ip string) net.Conn {
		t.Helper()
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", f.listener.Addr().String())
		if err != nil {
			t.Skip("no further loopback addresses here")
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	first := from("127.0.0.2")
	health(t, first)
	health(t, from("127.0.0.2"))
	if err := ask(from("127.0.0.2")); err == nil {
		t.Error("a client's third was taken")
	}
	health(t, from("127.0.0.3"))
	if err := ask(from("127.0.0.4")); err == nil {
		t.Error("a network's fourth was taken")
	}
	first.Close()
	until(t, "the place comes back", func() bool { return f.idle.len() == 2 })
	health(t, from("127.0.0.4"))
}
