package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/emulator/certificates"
	"tealpath/internal/logevent"

	"github.com/fxamacker/cbor/v2"
	"go4.org/netipx"
)

const waitTimeout = 5 * time.Second

// instance holds the Links of one instance, the messages that it received and the events that it logged.
type instance struct {
	*Links
	address string

	mu       sync.Mutex
	received []string
	logged   []logevent.Event
}

// countReceived returns how many received messages contain this text.
func (instance *instance) countReceived(part string) int {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	count := 0
	for _, message := range instance.received {
		if strings.Contains(message, part) {
			count++
		}
	}
	return count
}

// countLogged returns the number of logged events for which the function holds returns true.
func (instance *instance) countLogged(holds func(logevent.Event) bool) int {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	count := 0
	for _, event := range instance.logged {
		if holds(event) {
			count++
		}
	}
	return count
}

// isRefusal reports whether an event is one that reports refused connections.
func isRefusal(event logevent.Event) bool {
	switch event.(type) {
	case AddressRefused, LinkLimitReached, HandshakeLimitReached, HandshakeRefused:
		return true
	}
	return false
}

// forgetLogged removes the logged events and resets the counters of refusals, so that the next refusal is logged at
// once.
func (instance *instance) forgetLogged() {
	instance.refusals.mu.Lock()
	clear(instance.refusals.kinds)
	instance.refusals.mu.Unlock()
	instance.mu.Lock()
	instance.logged = nil
	instance.mu.Unlock()
}

// mustClose closes a connection or listener. If that fails, the test fails but continues.
func mustClose(t *testing.T, conn closer) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// parseRange returns the set of the addresses in a range, such as 127.0.0.1-127.0.0.9.
func parseRange(t *testing.T, text string) *netipx.IPSet {
	t.Helper()
	var builder netipx.IPSetBuilder
	addresses, err := netipx.ParseIPRange(text)
	if err != nil {
		t.Fatal(err)
	}
	builder.AddRange(addresses)
	set, err := builder.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func loadKeys(t *testing.T, folder, name string) *Keys {
	t.Helper()
	loaded, err := KeyFiles{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Roots:       filepath.Join(folder, "roots.pem"),
	}.Load()
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// startLinks runs the links of an instance that listens on a free loopback port. allow is the range of addresses that
// the instance may dial and accept.
func startLinks(t *testing.T, name string, loaded *Keys, allow string) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := &instance{address: listener.Addr().String()}
	opened.Links = New(Config{
		Name: name, Incarnation: 1, Listener: listener, Keys: loaded, Allow: parseRange(t, allow),
		Receive: func(from string, _ uint64, payload []byte) {
			opened.mu.Lock()
			defer opened.mu.Unlock()
			opened.received = append(opened.received, from+":"+string(payload))
		},
		Log: func(event logevent.Event) {
			opened.mu.Lock()
			defer opened.mu.Unlock()
			opened.logged = append(opened.logged, event)
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := opened.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); running.Wait() })
	return opened
}

// waitFor stops the test if the condition done does not hold within waitTimeout. what describes it in the error
// message.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}

func newRoot(t *testing.T, name string) *certificates.Root {
	t.Helper()
	root, err := certificates.NewRoot(name)
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// issue writes the key files of an instance to a folder: a certificate issued by root, its key, and the roots that the
// instance trusts.
func issue(t *testing.T, root *certificates.Root, folder, name string, roots ...*certificates.Root) {
	t.Helper()
	if err := root.Write(folder, name, time.Now().Add(time.Hour), roots...); err != nil {
		t.Fatal(err)
	}
}

// While the instances of a cluster change to keys of a new root, one after another, messages must keep arriving and
// open links must stay open. Once only the new root is trusted, a peer with a certificate of the old one must get no
// messages.
func TestMessagesWhileKeysChange(t *testing.T) {
	old, next, folder := newRoot(t, "old"), newRoot(t, "next"), t.TempDir()
	issue(t, old, folder, "a", old)
	issue(t, old, folder, "b", old)
	a := startLinks(t, "a", loadKeys(t, folder, "a"), "127.0.0.1-127.0.0.9")
	b := startLinks(t, "b", loadKeys(t, folder, "b"), "127.0.0.1-127.0.0.9")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("one"))
	waitFor(t, "the first message", func() bool { return b.countReceived("a:one") == 1 })
	// Both instances trust both roots, and a gets a certificate of the new root. The open link must stay usable.
	for _, name := range []string{"a", "b"} {
		issue(t, old, folder, name, old, next)
	}
	b.UseKeys(loadKeys(t, folder, "b"))
	issue(t, next, folder, "a", old, next)
	a.UseKeys(loadKeys(t, folder, "a"))
	a.Send("b", []byte("two"))
	waitFor(t, "a message on the open link", func() bool { return b.countReceived("a:two") == 1 })
	if b.countLogged(isRefusal) != 0 {
		t.Errorf("b refused connections while both roots were trusted: %v", b.logged)
	}
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("three"))
	waitFor(t, "a message on a link with the new key", func() bool { return b.countReceived("a:three") == 1 })
	// a now trusts only the new root, so it must no longer accept b's certificate, which the old root issued.
	issue(t, next, folder, "a", next)
	a.UseKeys(loadKeys(t, folder, "a"))
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("four"))
	waitFor(t, "an event that a cannot connect to b", func() bool {
		return a.countLogged(func(event logevent.Event) bool {
			failed, ok := event.(ConnectFailed)
			return ok && failed.Member == "b"
		}) > 0
	})
	if b.countReceived("four") != 0 {
		t.Error("b, whose root a no longer trusts, received a message from a")
	}
}

// A peer with an invalid certificate, hello or frame must be refused with an event that says why, and none of its
// messages may be delivered.
func TestRefusedPeers(t *testing.T) {
	good, bad, folder := newRoot(t, "good"), newRoot(t, "bad"), t.TempDir()
	issue(t, good, folder, "b", good)
	b := startLinks(t, "b", loadKeys(t, folder, "b"), "127.0.0.1-127.0.0.1")
	certificate := func(root *certificates.Root, name string, lifetime time.Duration) tls.Certificate {
		certificate, key, err := root.Issue(name, time.Now().Add(lifetime))
		if err != nil {
			t.Fatal(err)
		}
		pair, err := tls.X509KeyPair(certificate, key)
		if err != nil {
			t.Fatal(err)
		}
		return pair
	}
	pair := certificate(good, "a", time.Hour)
	first := func(sender hello) []byte {
		raw, err := cbor.Marshal(sender)
		if err != nil {
			t.Fatal(err)
		}
		return appendFrame(nil, raw)
	}
	usual := first(hello{ProtocolVersion, "a", 1})
	for _, test := range []struct {
		name  string
		pair  tls.Certificate
		bytes []byte
		want  string
	}{
		{"certificate of another root", certificate(bad, "a", time.Hour), usual, "unknown authority"},
		{"expired certificate", certificate(good, "a", -time.Hour), usual, "expired"},
		{"certificate of another name", certificate(good, "c", time.Hour), usual, "valid for c, not a"},
		{"no certificate", tls.Certificate{}, usual, "didn't provide a certificate"},
		{"another version", pair, first(hello{ProtocolVersion + 1, "a", 1}), "protocol version"},
		{"garbage", pair, bytes.Repeat([]byte{0xff}, 64), "malformed frame"},
		{"garbage in a frame", pair, appendFrame(nil, bytes.Repeat([]byte{0xff}, 64)), "malformed frame"},
		{"frame of 100 MB", pair, binary.BigEndian.AppendUint32(bytes.Clone(usual), 100<<20), "104857600 bytes"},
		{"half a frame", pair, append(bytes.Clone(usual), 0, 0, 1, 0, 1), "malformed frame"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b.forgetLogged()
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Fatal(err)
			}
			defer closeConn(conn)
			client := tls.Client(conn, &tls.Config{
				InsecureSkipVerify: true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
					return &test.pair, nil
				},
			})
			_, _ = client.Write(test.bytes) // the write may fail, because b may refuse the connection first
			if test.name == "half a frame" {
				mustClose(t, client)
			}
			waitFor(t, "an event with the text "+test.want, func() bool {
				return b.countLogged(func(event logevent.Event) bool {
					return strings.Contains(logevent.Text(event), test.want)
				}) > 0
			})
		})
	}
	if received := b.countReceived(""); received != 0 {
		t.Errorf("%d messages of refused peers were received, want 0", received)
	}
}

// A flood of connections from addresses that are not allowed must neither leave goroutines behind nor fill the log:
// the connections are closed and logged as one event.
func TestThousandRefusedConnections(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "b", root)
	b := startLinks(t, "b", loadKeys(t, folder, "b"), "127.0.0.9-127.0.0.9") // the test dials from 127.0.0.1
	before := runtime.NumGoroutine()
	for range 1000 {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("a connection from outside the allowed addresses was not closed")
		}
		mustClose(t, conn)
	}
	waitFor(t, "the end of the connections' goroutines", func() bool { return runtime.NumGoroutine() <= before+1 })
	if events := b.countLogged(func(logevent.Event) bool { return true }); events != 1 {
		t.Errorf("%d events for 1,000 refusals, want 1", events)
	}
}

// Connections that send nothing must not use up memory: their number is limited. They must block the links of other
// instances only until they time out.
func TestSilentConnectionsAreBounded(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	b := startLinks(t, "b", loadKeys(t, folder, "b"), "127.0.0.1-127.0.0.1")
	for range 300 {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer closeConn(conn)
	}
	b.Links.mu.Lock()
	held := b.accepted
	b.Links.mu.Unlock()
	if held > maxHandshakes {
		t.Errorf("%d silent connections are held, want at most %d", held, maxHandshakes)
	}
	a := startLinks(t, "a", loadKeys(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	waitFor(t, "a message after 300 silent connections", func() bool { return b.countReceived("a:x") == 1 })
}

// A voter of the largest fleet may have two links from each other instance, an old and a new one, if all have
// restarted. It must still accept the last of them.
func TestLinksFromTheLargestFleet(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	b := startLinks(t, "b", loadKeys(t, folder, "b"), "127.0.0.1-127.0.0.1")
	const others = 1024
	b.Links.mu.Lock()
	b.accepted += 2*others - 1
	b.Links.mu.Unlock()
	a := startLinks(t, "a", loadKeys(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	waitFor(t, "a message on the last link", func() bool { return b.countReceived("a:x") == 1 })
}

// A peer that does not answer must neither block Send nor let its queue grow beyond maxQueue frames.
func TestFullQueueDropsFrames(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	a := startLinks(t, "a", loadKeys(t, folder, "a"), "127.0.0.1-127.0.0.1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.SetPeers(map[string]string{"b": listener.Addr().String()}) // the listener never answers a connection
	started := time.Now()
	for i := range 3 * maxQueue {
		a.Send("b", fmt.Append(nil, i))
	}
	a.Send("nobody", []byte("x"))
	if time.Since(started) > time.Second || a.Dropped() != 2*maxQueue {
		t.Errorf("%d of %d frames dropped in %s, want %d in at most 1 s",
			a.Dropped(), 3*maxQueue, time.Since(started), 2*maxQueue)
	}
	mustClose(t, listener)
}
