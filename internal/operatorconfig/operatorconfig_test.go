package operatorconfig

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealpath/internal/cluster/probe"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/emulator/certificates"
)

const good = `; three instances
(socket "a.sock")
(fleet
  (instances (instance a (at "127.0.0.1:7101")) (instance b (at "127.0.0.1:7102") (weight 2)) (instance c (at "127.0.0.1:7103")))
  (voters (epoch 1) (now a b c))
  (slots 32) (lease 1500ms) (renewal 500ms) (drift 1%)
  (tls (certificate "a.pem") (key "a.key") (roots "roots.pem"))
  (allow "127.0.0.0/8" "10.0.0.1-10.0.0.9" "::1")
  (probe (period 1s) (within 500ms) (cold-part 5%) (cost 1ms)))
`

func folder(t *testing.T) string {
	t.Helper()
	root, err := certificates.NewRoot("root")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, name := range []string{"a", "b"} {
		if err := root.Write(dir, name, time.Now().Add(time.Hour), root); err != nil {
			t.Fatal(err)
		}
	}
	if err := root.Write(dir, "old", time.Now().Add(-time.Hour), root); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestParse(t *testing.T) {
	dir := folder(t)
	file, err := Parse(good, "a", dir)
	if err != nil {
		t.Fatal(err)
	}
	f := file.Fleet
	if f.Slots != 32 || f.Lease != 1500e6 || f.Renewal != 500e6 || f.Drift != 0.01 || len(f.Instances) != 3 ||
		f.Instances[1].Weight != 2 || f.Listen != "127.0.0.1:7101" || f.Probe.ColdPart != 0.05 || f.Probe.Cost != 0.001 ||
		file.Socket != filepath.Join(dir, "a.sock") {
		t.Errorf("%+v %+v", file, f)
	}
	if err := file.Bound(false, probe.ColdLimit{}, probe.ColdLimit{}); err == nil || !strings.HasPrefix(err.Error(), "9:3: ") {
		t.Errorf("probes where the settings allow none: %v", err)
	}
	if err := file.Bound(true, probe.ColdLimit{Share: 0.5}, probe.ColdLimit{}); err != nil || f.Probe.Cache.Share != 0.5 {
		t.Errorf("%v, %+v", err, f.Probe)
	}
	if _, err := Parse("", "a", dir); err != nil {
		t.Errorf("an empty file shares nothing: %v", err)
	}
}

// Each fault is named with its place and reason.
func TestFaults(t *testing.T) {
	dir := folder(t)
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown word", "(slots 32)", "(slot 32)", "6:3: unknown word slot in (fleet …); known are allow, drift"},
		{"lease shorter than three renewals", "(lease 1500ms)", "(lease 1400ms)", "6:14: the lease of 1.4s is shorter than three renewals of 500ms"},
		{"a majority of none", "(now a b c)", "(now)", "5:3: no voters: a majority of none grants nothing"},
		{"voter unknown", "(now a b c)", "(now a b d)", "5:3: voter d is not among the instances"},
		{"voter twice", "(now a b c)", "(now a b b)", "5:3: voter b is named twice"},
		{"two changes of voters", "(epoch 1) (now a b c)", "(epoch 2) (now a b c) (before a)", "5:3: voters change by one at a time"},
		{"no set before", "(epoch 1)", "(epoch 2)", "5:3: epoch 2 needs (before …)"},
		{"own name missing", "(instance a ", "(instance x ", "3:1: a is not among the instances"},
		{"key of another certificate", `"a.key"`, `"b.key"`, "7:3: certificate and key: tls: private key does not match public key"},
		{"certificate of another name", `"a.pem") (key "a.key"`, `"b.pem") (key "b.key"`, `7:3: the certificate does not prove "a"`},
		{"expired certificate", `"a.pem") (key "a.key"`, `"old.pem") (key "old.key"`, "expired"},
		{"missing file", `"roots.pem"`, `"none.pem"`, "7:3: roots: "},
		{"address outside the sets", "127.0.0.1:7102", "192.0.2.1:7102", "the address 192.0.2.1:7102 of b is outside the allowed sets"},
		{"no address", "127.0.0.1:7102", "localhost:7102", `is no address such as 127.0.0.1:7101`},
		{"same address", "127.0.0.1:7102", "127.0.0.1:7101", "instance b has the address of a"},
		{"network with bits", "127.0.0.0/8", "127.0.0.1/8", `8:10: "127.0.0.1/8" has bits behind its length`},
		{"no network", "127.0.0.0/8", "127/8", `8:10: "127/8" is no address, network or range`},
		{"time without unit", "(lease 1500ms)", "(lease 1500)", "6:21: 1500 is no time such as 1500ms or 2s"},
		{"number too large", "(slots 32)", "(slots 5000)", "6:10: 5000: 1 to 4096 can be"},
		{"twice", "(slots 32)", "(slots 32) (slots 33)", "6:14: slots stands at line 6 already"},
		{"lacking", "(allow ", "(deny ", "(fleet …) lacks (allow …)"},
		{"probe part", "(cold-part 5%)", "(cold-part 40%)", "9:3: a cold part of 0.4: above 0 to 0.3 can be"},
		{"probe slower than its period", "(within 500ms)", "(within 2s)", "9:3: a probe of 2000 ms takes longer than the period of 1000 ms"},
		{"silence of less than two intervals", "(slots 32)", "(membership (interval 1s) (silence 1500ms))", "6:3: the silence of 1.5s is shorter than two intervals of 1s"},
		{"silence beside the renewal", "(slots 32)", "(membership (silence 900ms))", "6:3: the silence of 900ms is shorter than two intervals of 500ms"},
		{"unknown word of membership", "(slots 32)", "(membership (probes 3))", "6:15: unknown word probes"},
		{"no end", "(cost 1ms)))", "(cost 1ms))", "3:1: this ( has no )"},
		{"no beginning", "(cost 1ms)))", "(cost 1ms))))", "9:64: a ) without its ("},
		{"open text", `"a.pem"`, `"a.pem`, `has no end on its line`},
		{"word outside", "; three instances", "three", "1:1: three stands outside any list"},
		{"not UTF-8", "three", "\xff", "1:3: this is not UTF-8"},
		{"escape", `"a.pem"`, `"a\q"`, `after \ only`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(good, tc.old, tc.new, 1)
			if text == good {
				t.Fatal("the case changes nothing")
			}
			_, err := Parse(text, "a", dir)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%v, want %q", err, tc.want)
			}
		})
	}
	_, err := Parse(strings.NewReplacer("(slots 32)", "(slot 1)", "1500ms", "1ms").Replace(good), "a", dir)
	if err == nil || len(strings.Split(err.Error(), "\n")) < 2 {
		t.Errorf("two faults are not both told: %v", err)
	}
}

func TestKeeping(t *testing.T) {
	const text = `(idle (after 2h) (spread 10s) (most 10000) (per-client 50)
  (network "10.0.0.0/8" (after 5m) (most 200))
  (network "10.1.0.0/16" (per-client 3)))`
	file, err := Parse(text, "a", ".")
	if err != nil {
		t.Fatal(err)
	}
	k := file.Idle
	if k.Most != 10000 || len(k.Networks) != 3 || k.Networks[1] != (idle.Policy{IdleTimeout: 300e9, MaxJitter: 10e9, MaxConnections: 200, MaxPerClient: 50}) ||
		k.Networks[2].MaxPerClient != 3 || k.Networks[2].IdleTimeout != 7200e9 {
		t.Errorf("%+v", k)
	}
	for ip, want := range map[string]uint16{"10.1.2.3": 2, "10.2.0.1": 1, "192.0.2.1": 0} {
		if got, _ := k.By.Lookup(netip.MustParseAddr(ip)); got != want {
			t.Errorf("%s is of network %d, want %d", ip, got, want)
		}
	}
	bounds := idle.Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 192 << 20}
	if err := file.Fits(bounds, 500); err != nil {
		t.Error(err)
	}
	for _, tc := range []struct {
		old, new string
		bounds   idle.Resources
		want     string
	}{
		{"(most 10000)", "(most 15000)", bounds, "1:1: 15000 connections: 20000 descriptors less 5000 for links"},
		{"", "", idle.Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 4 << 20}, "1:1: 10000 connections of 256 bytes each take 2500 KB"},
		{"(most 200)", "(most 20000)", bounds, "2:3: 20000 connections of a network are more than the 10000 in all"},
		{"(per-client 3)", "(per-client 30000)", bounds, "3:3: 30000 connections of a client are more"},
	} {
		file, err := Parse(strings.Replace(text, tc.old, tc.new, 1), "a", ".")
		if err == nil {
			err = file.Fits(tc.bounds, 500)
		}
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%v, want %q", err, tc.want)
		}
	}
	for bad, want := range map[string]string{`(idle (after 2))`: "1:14: 2 is no time", `(idle (network "10.0.0.1/8"))`: "1:16: ",
		`(idle (network (after 1s)))`: "1:7: (network …) takes", `(idle (network "10.0.0.0/8") (network "10.0.0.0/8"))`: "1:30: network 10.0.0.0/8 stands twice"} {
		if _, err := Parse(bad, "a", "."); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", bad, err, want)
		}
	}
}

func TestSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.sock")
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error, 1)
	serve := func() { over <- Serve(ctx, path, map[string]Handler{"echo": echo}) }
	go serve()
	var got []string
	for end := time.Now().Add(5 * time.Second); Ask(ctx, path, &got, "echo", "a", "b") != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no answer")
		}
	}
	if strings.Join(got, " ") != "a b" {
		t.Errorf("%q", got)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("others may open it: %v %v", info.Mode(), err)
	}
	if err := Ask(ctx, path, &got, "what"); err == nil || !strings.Contains(err.Error(), "unknown command") {
		t.Errorf("%v", err)
	}
	if err := Ask(ctx, path, &got, "echo"); err == nil || !strings.Contains(err.Error(), "nothing to say") {
		t.Errorf("%v", err)
	}
	if err := Serve(ctx, path, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a live socket was taken over: %v", err)
	}
	stop()
	if err := <-over; err != nil {
		t.Error(err)
	}
	if err := Ask(context.Background(), path, &got, "echo"); err == nil {
		t.Error("it answers after its end")
	}
}

func echo(_ context.Context, words []string) (any, error) {
	if len(words) == 0 {
		return nil, errors.New("nothing to say")
	}
	return words, nil
}

func FuzzRead(f *testing.F) {
	f.Add(good)
	f.Add(`(a "b\n" (c ; d` + "\n" + `) )`)
	f.Add("(((((")
	f.Fuzz(func(t *testing.T, text string) {
		nodes, err := Read(text)
		if err != nil {
			var fault Fault
			if !errors.As(err, &fault) || fault.Line < 1 || fault.Column < 1 {
				t.Errorf("an error without its place: %v", err)
			}
			return
		}
		for _, n := range nodes {
			if !n.isList {
				t.Errorf("%s outside a list", n)
			}
		}
		Parse(text, "a", t.TempDir())
	})
}

func TestStart(t *testing.T) {
	for _, c := range []struct {
		text    string
		routers int
		says    string // empty: usable
	}{
		{"(start (rate 100) (hold 4s))", 300, ""},
		{"(socket \"x\")\n (start (rate 100) (hold 2s))", 300, "2:2: 300 routers call for 3000 ms at 100 a second"},
		{"(start (hold 4s))", 3, "1:1"},
		{"(start (rate 0) (hold 4s))", 3, "1:14"},
		{"(start (rate 100) (hold 2h))", 3, "1:25"},
		{"(start (rate 100) (hold 4s) (wait 3))", 3, "1:29"},
		{"", 300, ""},
	} {
		t.Run(c.text, func(t *testing.T) {
			file, err := Parse(c.text, "a", t.TempDir())
			if err == nil {
				err = file.Holds(c.routers)
			}
			if (err == nil) != (c.says == "") || err != nil && !strings.HasPrefix(err.Error(), c.says) {
				t.Errorf("%v, want %q", err, c.says)
			}
		})
	}
}

func TestLinks(t *testing.T) {
	for _, c := range []struct {
		text    string
		routers int
		says    string // empty: usable
	}{
		{"(links (holds 60))", 300, ""},
		{"(links (holds 60) (opens 20))", 300, ""},
		{"(socket \"x\")\n (links (holds 60) (opens 5))", 300, "2:2: 300 routers take 60 s to open one connection each at 5 a second"},
		{"(links (opens 5))", 3, "1:1"},
		{"(links (holds 0))", 3, "1:15"},
		{"(links (holds 60) (opens fast))", 3, "1:26"},
		{"", 300, ""},
	} {
		t.Run(c.text, func(t *testing.T) {
			file, err := Parse(c.text, "a", t.TempDir())
			if err == nil {
				err = file.Spreads(c.routers)
			}
			if (err == nil) != (c.says == "") || err != nil && !strings.HasPrefix(err.Error(), c.says) {
				t.Errorf("%v, want %q", err, c.says)
			}
		})
	}
}
