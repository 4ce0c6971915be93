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
	"tealpath/standin/keys"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go4.org/netipx"
)

const patience = 5 * time.Second

// end is one instance's links, with what they got and logged.
type end struct {
	*Links
	address string
	mu      sync.Mutex
	got     []string
	logged  []string
}

func (e *end) count(list *[]string, part string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, line := range *list {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

func loopback(t *testing.T, text string) *netipx.IPSet {
	t.Helper()
	var b netipx.IPSetBuilder
	r, err := netipx.ParseIPRange(text)
	if err != nil {
		t.Fatal(err)
	}
	b.AddRange(r)
	set, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func load(t *testing.T, folder, name string) *Keys {
	t.Helper()
	k, err := KeyFiles{
		filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key"),
		filepath.Join(folder, "roots.pem"),
	}.Load()
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func open(t *testing.T, name string, k *Keys, allow string) *end {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &end{address: listener.Addr().String()}
	e.Links = New(Config{
		Name: name, Incarnation: 1, Listener: listener, Keys: k, Allow: loopback(t, allow),
		Receive: func(from string, _ uint64, payload []byte) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.got = append(e.got, from+":"+string(payload))
		},
		Log: func(line, who, why string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.logged = append(e.logged, line+" | "+who+" | "+why)
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	var over sync.WaitGroup
	over.Go(func() { e.Run(ctx) })
	t.Cleanup(func() { stop(); over.Wait() })
	return e
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

func root(t *testing.T, name string) *keys.Root {
	t.Helper()
	r, err := keys.NewRoot(name)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func issue(t *testing.T, r *keys.Root, folder, name string, until time.Duration, roots ...*keys.Root) {
	t.Helper()
	if err := r.Write(folder, name, time.Now().Add(until), roots...); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesAndKeysChangedInService(t *testing.T) {
	old, next, folder := root(t, "old"), root(t, "next"), t.TempDir()
	issue(t, old, folder, "a", time.Hour, old)
	issue(t, old, folder, "b", time.Hour, old)
	a, b := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.9"), open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.9")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("one"))
	wait(t, "the first message", func() bool { return b.count(&b.got, "a:one") == 1 })
	// Both roots are believed, then a proves itself by the new one: the standing link goes on.
	for _, name := range []string{"a", "b"} {
		issue(t, old, folder, name, time.Hour, old, next)
	}
	b.UseKeys(load(t, folder, "b"))
	issue(t, next, folder, "a", time.Hour, old, next)
	a.UseKeys(load(t, folder, "a"))
	a.Send("b", []byte("two"))
	wait(t, "a message on the standing link", func() bool { return b.count(&b.got, "a:two") == 1 })
	if b.count(&b.logged, "refused") != 0 {
		t.Errorf("refused: %q", b.logged)
	}
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("three"))
	wait(t, "a message under the new key", func() bool { return b.count(&b.got, "a:three") == 1 })
	// The new root alone is believed from now on: b's old certificate is not.
	issue(t, next, folder, "a", time.Hour, next)
	a.UseKeys(load(t, folder, "a"))
	a.SetPeers(nil)
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("four"))
	wait(t, "the refusal", func() bool { return a.count(&a.logged, "no link to b") > 0 })
	if b.count(&b.got, "four") != 0 {
		t.Error("sent to one whose root is no longer believed")
	}
}

// Peers that are refused: each with one bounded line, and nothing left open.
func TestRefused(t *testing.T) {
	good, bad, folder := root(t, "good"), root(t, "bad"), t.TempDir()
	issue(t, good, folder, "b", time.Hour, good)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
	certificate := func(r *keys.Root, name string, until time.Duration) tls.Certificate {
		c, k, err := r.Issue(name, time.Now().Add(until))
		if err != nil {
			t.Fatal(err)
		}
		pair, err := tls.X509KeyPair(c, k)
		if err != nil {
			t.Fatal(err)
		}
		return pair
	}
	pair := certificate(good, "a", time.Hour)
	first := func(h hello) []byte {
		raw, _ := cbor.Marshal(h)
		return appendFrame(nil, raw)
	}
	usual := first(hello{ProtocolVersion, "a", 1})
	for _, tc := range []struct {
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
		t.Run(tc.name, func(t *testing.T) {
			b.Links.mu.Lock()
			clear(b.complain)
			b.Links.mu.Unlock()
			b.mu.Lock()
			b.logged = nil
			b.mu.Unlock()
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			over := tls.Client(conn, &tls.Config{
				InsecureSkipVerify:   true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tc.pair, nil },
			})
			over.Write(tc.bytes)
			if tc.name == "half a frame" {
				over.Close()
			}
			wait(t, tc.want, func() bool { return b.count(&b.logged, tc.want) > 0 })
		})
	}
	if got := b.count(&b.got, ""); got != 0 {
		t.Errorf("%d messages were taken", got)
	}
}

func TestAThousandConnectionsCostNothing(t *testing.T) {
	r, folder := root(t, "r"), t.TempDir()
	issue(t, r, folder, "b", time.Hour, r)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.9-127.0.0.9") // 127.0.0.1 is outside
	before := runtime.NumGoroutine()
	for range 1000 {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetReadDeadline(time.Now().Add(patience))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("not closed")
		}
		conn.Close()
	}
	wait(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+1 })
	if n := b.count(&b.logged, ""); n != 1 {
		t.Errorf("%d lines for 1,000 refusals", n)
	}
}

// Connections that never shake hands are bounded, and do not keep out for good those that belong here.
func TestSilentConnectionsAreBounded(t *testing.T) {
	r, folder := root(t, "r"), t.TempDir()
	issue(t, r, folder, "a", time.Hour, r)
	issue(t, r, folder, "b", time.Hour, r)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
	for range 300 {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	b.Links.mu.Lock()
	held := b.accepted
	b.Links.mu.Unlock()
	if held > shakeMost {
		t.Errorf("%d are held", held)
	}
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	wait(t, "the message behind 300 silent connections", func() bool { return b.count(&b.got, "a:x") == 1 })
}

// A voter that all others of a large fleet have come to, each twice over a restart, takes one more.
func TestLinksFromTheLargestFleet(t *testing.T) {
	r, folder := root(t, "r"), t.TempDir()
	issue(t, r, folder, "a", time.Hour, r)
	issue(t, r, folder, "b", time.Hour, r)
	b := open(t, "b", load(t, folder, "b"), "127.0.0.1-127.0.0.1")
	const others = 1024
	b.Links.mu.Lock()
	b.accepted += 2*others - 1
	b.Links.mu.Unlock()
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	a.SetPeers(map[string]string{"b": b.address})
	a.Send("b", []byte("x"))
	wait(t, "the message behind the others' links", func() bool { return b.count(&b.got, "a:x") == 1 })
}

func TestQueueDropsTheOldest(t *testing.T) {
	r, folder := root(t, "r"), t.TempDir()
	issue(t, r, folder, "a", time.Hour, r)
	issue(t, r, folder, "b", time.Hour, r)
	a := open(t, "a", load(t, folder, "a"), "127.0.0.1-127.0.0.1")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.SetPeers(map[string]string{"b": free.Addr().String()}) // it accepts and never answers
	began := time.Now()
	for i := range 3 * queueMost {
		a.Send("b", fmt.Append(nil, i))
	}
	a.Send("nobody", []byte("x"))
	if time.Since(began) > time.Second || a.Dropped() != 2*queueMost {
		t.Errorf("%d of %d were dropped, in %s", a.Dropped(), 3*queueMost, time.Since(began))
	}
	free.Close()
}

func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, err := readFrame(bytes.NewReader(raw), MaxFrameSize)
		if err == nil && !bytes.HasPrefix(raw, appendFrame(nil, payload)) {
			t.Errorf("%x was read as %x", raw, payload)
		}
		readHello(bytes.NewReader(raw))
	})
}
