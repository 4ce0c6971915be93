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

const patience = 5 * time.Second

// instance is one instance's links, with what they received and logged.
type instance struct {
	*Links
	address string

	mu       sync.Mutex
	received []string
	logged   []logevent.Event
}

// countReceived counts the messages with a part.
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

// countLogged counts the logged events that a condition holds for.
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

// isRefusal reports whether an event is about a connection that was refused.
func isRefusal(event logevent.Event) bool {
	switch event.(type) {
	case AddressRefused, LinkLimitReached, HandshakeLimitReached, HandshakeRefused:
		return true
	}
	return false
}

// forgetLogged forgets what was logged, and how often.
func (instance *instance) forgetLogged() {
	instance.refusals.mu.Lock()
	clear(instance.refusals.kinds)
	instance.refusals.mu.Unlock()
	instance.mu.Lock()
	instance.logged = nil
	instance.mu.Unlock()
}

// mustClose closes a connection or listener.
func mustClose(t *testing.T, conn closer) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

func loopback(t *testing.T, text string) *netipx.IPSet {
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

func load(t *testing.T, folder, name string) *Keys {
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

// open starts an instance's links.
func open(t *testing.T, name string, loaded *Keys, allow string) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := &instance{address: listener.Addr().String()}
	opened.Links = New(Config{
		Name: name, Incarnation: 1, Listener: listener, Keys: loaded, Allow: loopback(t, allow),
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

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", patience, what)
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

// issue writes an instance's files, with the roots that it believes.
func issue(t *testing.T, root *certificates.Root, folder, name string, roots ...*certificates.Root) {
	t.Helper()
	if err := root.Write(folder, name, time.Now().Add(time.Hour), roots...); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesAndKeysChangedInService(t *testing.T) {
	old, next, folder := newRoot(t, "old"), newRoot(t, "next"), t.TempDir()
	issue(t, old, folder, "a", old)
	issue(t, old, folder, "b", old)
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.9")
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.9")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("one"))
	wait(t, "the first message", func() bool { return b.countReceived("a:one") == 1 })
	// Both roots are believed, then a proves itself by the new one: the standing link goes on.
	for _, name := range []string{"a", "b"} {
		issue(t, old, folder, name, old, next)
	}
	b.UseKeys(load(t, folder, "b"))
	issue(t, next, folder, "a", old, next)
	a.UseKeys(load(t, folder, "a"))
	a.Send("b", []byte("two"))
	wait(t, "a message on the standing link", func() bool { return b.countReceived("a:two") == 1 })
	if b.countLogged(isRefusal) != 0 {
		t.Errorf("refused: %v", b.logged)
	}
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("three"))
	wait(t, "a message under the new key", func() bool { return b.countReceived("a:three") == 1 })
	// The new root alone is believed from now on: b's old certificate is not.
	issue(t, next, folder, "a", next)
	a.UseKeys(load(t, folder, "a"))
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("four"))
	wait(t, "the refusal", func() bool {
		return a.countLogged(func(event logevent.Event) bool {
			failed, ok := event.(ConnectFailed)
			return ok && failed.Member == "b"
		}) > 0
	})
	if b.countReceived("four") != 0 {
		t.Error("sent to one whose root is no longer believed")
	}
}

// Peers that are refused: each with one bounded line, and nothing left open.
func TestRefused(t *testing.T) {
	good, bad, folder := newRoot(t, "good"), newRoot(t, "bad"), t.TempDir()
	issue(t, good, folder, "b", good)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
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
		{"another root's", certificate(bad, "a", time.Hour), usual, "unknown authority"},
		{"expired", certificate(good, "a", -time.Hour), usual, "expired"},
		{"another name's", certificate(good, "c", time.Hour), usual, "valid for c, not a"},
		{"none", tls.Certificate{}, usual, "didn't provide a certificate"},
		{"another version", pair, first(hello{ProtocolVersion + 1, "a", 1}), "protocol version"},
		{"garbage", pair, bytes.Repeat([]byte{0xff}, 64), "malformed frame"},
		{"garbage in a frame", pair, appendFrame(nil, bytes.Repeat([]byte{0xff}, 64)), "malformed frame"},
		{"100 MB", pair, binary.BigEndian.AppendUint32(bytes.Clone(usual), 100<<20), "104857600 bytes"},
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
			_, _ = client.Write(test.bytes) // it may be refused before all is written
			if test.name == "half a frame" {
				mustClose(t, client)
			}
			wait(t, test.want, func() bool {
				return b.countLogged(func(event logevent.Event) bool {
					return strings.Contains(logevent.Text(event), test.want)
				}) > 0
			})
		})
	}
	if received := b.countReceived(""); received != 0 {
		t.Errorf("%d messages were taken", received)
	}
}

func TestAThousandConnectionsCostNothing(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "b", root)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.9-127.0.0.9") // 127.0.0.1 is outside
	before := runtime.NumGoroutine()
	for range 1000 {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("not closed")
		}
		mustClose(t, conn)
	}
	wait(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+1 })
	if events := b.countLogged(func(logevent.Event) bool { return true }); events != 1 {
		t.Errorf("%d events for 1,000 refusals", events)
	}
}

// Connections that never shake hands are bounded, and do not keep out for good those that belong here.
func TestSilentConnectionsAreBounded(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
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
		t.Errorf("%d are held", held)
	}
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	wait(t, "the message behind 300 silent connections", func() bool { return b.countReceived("a:x") == 1 })
}

// A voter that all others of a large fleet have come to, each twice over a restart, takes one more.
func TestLinksFromTheLargestFleet(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
	const others = 1024
	b.Links.mu.Lock()
	b.accepted += 2*others - 1
	b.Links.mu.Unlock()
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	wait(t, "the message behind the others' links", func() bool { return b.countReceived("a:x") == 1 })
}

func TestQueueDropsTheOldest(t *testing.T) {
	root, folder := newRoot(t, "r"), t.TempDir()
	issue(t, root, folder, "a", root)
	issue(t, root, folder, "b", root)
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.SetPeers(map[string]string{"b": free.Addr().String()}) // it accepts and never answers
	started := time.Now()
	for i := range 3 * maxQueue {
		a.Send("b", fmt.Append(nil, i))
	}
	a.Send("nobody", []byte("x"))
	if time.Since(started) > time.Second || a.Dropped() != 2*maxQueue {
		t.Errorf("%d of %d were dropped, in %s", a.Dropped(), 3*maxQueue, time.Since(started))
	}
	mustClose(t, free)
}
