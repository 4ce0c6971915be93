package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"tealpath/internal/clock"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// steps are what the wall clock is set forward by in the tests, or back.
var steps = []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// logged is the log of a process, by its lines and when they came.
type logged struct {
	mu    sync.Mutex
	lines []string
	times []time.Time
}

func (l *logged) Write(raw []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines, l.times = append(l.lines, string(bytes.TrimSpace(raw))), append(l.times, time.Now())
	return len(raw), nil
}

// find gives when a line with a part came first.
func (l *logged) find(part string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, line := range l.lines {
		if strings.Contains(line, part) {
			return l.times[i], true
		}
	}
	return time.Time{}, false
}

// wait waits for a line and gives when it came.
func (l *logged) wait(t *testing.T, part string, within time.Duration) time.Time {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if at, ok := l.find(part); ok {
			return at
		}
	}
	t.Fatalf("no line with %q within %v: %v", part, within, l.lines)
	return time.Time{}
}

// running is a router's process on a clock of the test's, with real connections.
type running struct {
	log   *logged
	leave func()
	over  chan error
}

// runOn starts a process on a clock and waits until it listens. It ends with the test.
func (p program) runOn(t *testing.T, c clock.Clock, file *operatorconfig.File) running {
	t.Helper()
	parsed, err := config.Load(func(name string) string { return map[string]string{"LB_CONFIG": p.file, "LB_LISTEN": p.address}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	leave := make(chan struct{})
	r := running{log: &logged{}, over: make(chan error, 1), leave: sync.OnceFunc(func() { close(leave) })}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.over <- server.New(parsed, file, zerolog.New(r.log), server.WithClock(c)).Run(ctx, leave, nil,
			func() (*config.Config, *operatorconfig.File, error) { return nil, nil, errors.New("not in this test") })
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			discard(conn)
			return r
		}
		if time.Now().After(end) {
			t.Fatal("it does not listen")
		}
	}
}

// change rewrites the configuration.
func (p program) change(t *testing.T, journal string, pairs ...string) {
	t.Helper()
	raw := string(p.text("n0", journal))
	changed := strings.NewReplacer(pairs...).Replace(raw)
	if changed == raw && len(pairs) > 0 {
		t.Fatal("nothing was replaced")
	}
	if err := os.WriteFile(p.file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
}

// field is a number among the fields of what a cache was asked, -1 where there is none.
func field(fields, name string) int64 {
	for f := range strings.SplitSeq(fields, ",") {
		if value, ok := strings.CutPrefix(f[strings.LastIndex(f, " ")+1:], name+"="); ok {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return -1
			}
			return n
		}
	}
	return -1
}

// farm is what a router is started among.
type farm struct {
	program
	caches  []*stand
	journal string
	events  chan string
}

func newFarm(t *testing.T) farm {
	t.Helper()
	f := farm{caches: []*stand{newStand(t, "s-a"), newStand(t, "s-b")}}
	f.journal, f.events = newJournal(t)
	f.program = configured(t, f.caches, f.journal, 1.2)
	// An address of its own: between two processes of a test another test, or its client, can take a port of the usual one.
	_, port, err := net.SplitHostPort(f.address)
	if err != nil {
		t.Fatal(err)
	}
	n, pid := farms.Add(1), os.Getpid()
	f.address = net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n%250), port)
	return f
}

// farms counts the farms of this test's process.
var farms atomic.Int64

// each runs a test for each step side by side, each among servers of its own.
func each(t *testing.T, do func(t *testing.T, f farm, step time.Duration)) {
	t.Parallel()
	for _, step := range steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			do(t, newFarm(t), step)
		})
	}
}

const silent = "dead000000000001" // an object that caches leave without an answer

// A request in flight has its time, no less and no more.
func TestStepUnderARequestInFlight(t *testing.T) {
	each(t, func(t *testing.T, p farm, step time.Duration) {
		c := clocktest.Running(0)
		p.runOn(t, c, nil)
		waits, served := dial(t, p.address), dial(t, p.address)
		begun := time.Now()
		seq := waits.call(silent, 700)
		time.Sleep(100 * time.Millisecond)
		c.Step(step)
		served.want(served.call(object(1), 1200), settled)
		waits.want(seq, dismissed)
		if took := time.Since(begun); took < 500*time.Millisecond || took > 850*time.Millisecond {
			t.Errorf("answered after %v, its client had 700 ms", took)
		}
		c.Step(-step)
		served.want(served.call(object(2), 1200), settled)
	})
}

// A drain takes its time, and what is in flight is answered within it.
func TestStepDuringADrain(t *testing.T) {
	each(t, func(t *testing.T, p farm, step time.Duration) {
		c := clocktest.Running(0)
		r := p.runOn(t, c, nil)
		waits := dial(t, p.address)
		begun := time.Now()
		seq := waits.call(silent, 1200)
		time.Sleep(50 * time.Millisecond)
		r.leave()
		time.Sleep(50 * time.Millisecond)
		c.Step(step)
		late := dial(t, p.address)
		late.want(late.call(object(1), 1200), settled)
		waits.want(seq, dismissed)
		answered := time.Since(begun)
		discard(waits.conn)
		discard(late.conn)
		ends(t, r.over, patience)
		if ended := time.Since(begun); answered < 600*time.Millisecond || answered > 1350*time.Millisecond || ended < 700*time.Millisecond ||
			ended > 2*time.Second {
			t.Errorf("answered after %v, its client had 1.2 s; ended after %v", answered, ended)
		}
	})
}

// A server that failed is tried again after its backoff, and not at once.
func TestStepDuringABackoff(t *testing.T) {
	each(t, func(t *testing.T, p farm, step time.Duration) {
		c := clocktest.Running(0)
		r := p.runOn(t, c, nil)
		ask := func(n int) {
			one := dial(t, p.address)
			defer discard(one.conn)
			one.want(one.call(object(n), 1200), settled)
		}
		address := p.caches[0].Addr().String()
		p.caches[0].die()
		n := 0
		for ; n < 500; n++ {
			if _, down := r.log.find(`"event":"endpoint_ejected"`); down {
				break
			}
			ask(n)
		}
		down := r.log.wait(t, `"event":"endpoint_ejected"`, time.Second)
		c.Step(step)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { discard(listener) })
		again := &stand{Listener: listener, name: "s-a", asked: make(chan string, 10000)}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go again.serve(conn)
			}
		}()
		for end := time.Now().Add(patience); time.Now().Before(end); n++ {
			if _, up := r.log.find(`"event":"endpoint_restored"`); up {
				break
			}
			ask(n)
			time.Sleep(5 * time.Millisecond)
		}
		up := r.log.wait(t, `"event":"endpoint_restored"`, time.Second)
		if after := up.Sub(down); after < 900*time.Millisecond || after > 3*time.Second {
			t.Errorf("tried again after %v, its backoff is 1 s", after)
		}
	})
}

// A server that has just started gets its share of its warming time, and all after that.
func TestStepDuringASlowStart(t *testing.T) {
	each(t, func(t *testing.T, p farm, step time.Duration) {
		p.change(t, p.journal, `"obligations":{`, `"obligations":{"coldFrom":0.1,"warmUpS":3,"overloadFactor":1,"fallS":1,`)
		c := clocktest.Running(0)
		p.runOn(t, c, nil)
		drain := func() (n int) { // of both: one whose channel is full answers no more
			for {
				select {
				case <-p.caches[0].asked:
				case <-p.caches[1].asked:
					n++
				default:
					return n
				}
			}
		}
		load := func(span time.Duration, from int) (asked int) {
			one := dial(t, p.address)
			defer discard(one.conn)
			for end := time.Now().Add(span); time.Now().Before(end); asked++ {
				one.want(one.call(object(from+asked), 1200), settled)
				time.Sleep(5 * time.Millisecond)
			}
			return asked
		}
		load(300*time.Millisecond, 0)
		if drain() == 0 {
			t.Fatal("warm it is not asked")
		}
		begun := time.Now()
		p.events <- fmt.Sprintf("id: 2\ndata: {\"pos\":2,\"hosts\":{\"generation\":2,\"instances\":[{\"instanceId\":\"s-b\",\"hostPort\":\"%s\","+
			"\"zone\":\"here\",\"machineType\":\"cache\",\"lifecycle\":\"active\",\"weight\":4,\"startedAtMs\":%d}]}}\n\n",
			p.caches[1].Addr(), begun.UnixMilli())
		time.Sleep(50 * time.Millisecond)
		drain()
		c.Step(step)
		asked := load(time.Second, 1000)
		cold := drain()
		time.Sleep(time.Until(begun.Add(3200 * time.Millisecond)))
		later := load(time.Second, 5000)
		warm := drain()
		if cold > asked/8 || warm < later/4 {
			t.Errorf("asked %d of %d times in its first second, %d of %d once warm", cold, asked, warm, later)
		}
	})
}

// After a purge no older copy will do, from when it was told on and for as long as caches may hold one.
func TestStepDuringAPurgesGrace(t *testing.T) {
	t.Parallel()
	for _, off := range []time.Duration{0, time.Hour, -time.Hour, 365 * 24 * time.Hour} { // of the clock at the start
		for _, step := range steps {
			t.Run(fmt.Sprintf("off by %v, a step of %v", off, step), func(t *testing.T) {
				t.Parallel()
				p := newFarm(t)
				purged := time.Now().Add(-20 * time.Millisecond)
				var mu sync.Mutex
				kept := purged.Add(-time.Second) // when the copy that caches hold was issued
				for _, s := range p.caches {
					s.copy = func(fields string) time.Time {
						mu.Lock()
						defer mu.Unlock()
						if within := field(fields, "within"); within > 0 && time.Since(kept) > time.Duration(within)*time.Millisecond {
							kept = time.Now()
						}
						return kept
					}
				}
				c := clocktest.Running(off)
				p.runOn(t, c, nil)
				one := dial(t, p.address)
				one.want(one.call(object(1), 1200), settled)
				p.events <- fmt.Sprintf("id: 2\ndata: {\"pos\":2,\"expire\":{\"set\":17,\"stamp\":%d}}\n\n", purged.UnixMilli())
				time.Sleep(100 * time.Millisecond)
				c.Step(step)
				for range 20 {
					one.want(one.call(object(1), 1200), settled)
					mu.Lock()
					if kept.Before(purged) {
						t.Fatal("a copy from before the purge was served")
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
}

// A clock that steps from one reading to the next, from before the configuration is read until the end.
func TestClockThatNeverRests(t *testing.T) {
	t.Parallel()
	p, folder := newFarm(t), t.TempDir()
	file, err := operatorconfig.Parse(`(snapshot (file "kept") (every 1s))`, "n0", folder)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second reads what the first has kept
		c := clocktest.Running(0)
		c.Swing(time.Hour)
		r := p.runOn(t, c, file)
		one := dial(t, p.address)
		one.want(one.call(object(1), 1200), settled)
		one.want(one.call(silent, 300), dismissed)
		discard(one.conn)
		r.leave()
		ends(t, r.over, patience)
	}
	if _, err := os.Stat(filepath.Join(folder, "kept")); err != nil {
		t.Error(err)
	}
}

// A step just before a snapshot is written, while it lies there, and just before it is read.
func TestStepsAroundASnapshot(t *testing.T) {
	t.Parallel()
	const year = 365 * 24 * time.Hour
	const restoredWhole = `"scope":"whole"` // of a snapshot_restored event
	for _, c := range []struct {
		name          string
		began, step   time.Duration // by how much the first process's clock was off, and is set before it writes
		second, again time.Duration // the second's, and how it is set before it reads
		says          string
	}{
		{"no step", 0, 0, 0, 0, restoredWhole},
		{"2 s ahead before it was written", 0, 2 * time.Second, 0, 0, restoredWhole},
		{"2 s behind before it was written", 0, -2 * time.Second, 0, 0, restoredWhole},
		{"an hour ahead before it was written", 0, time.Hour, 0, 0, `"event":"snapshot_ignored","cause":"it is of 3`},
		{"an hour behind before it was written", 0, -time.Hour, 0, 0, "s old"},
		{"a year ahead all along", year, 0, 0, 0, `"event":"snapshot_ignored","cause":"it is of 31`},
		{"a year ahead, set right before it was written", year, -year, 0, 0, restoredWhole},
		{"a year ahead at both", year, 0, year, 0, restoredWhole},
		{"a year behind, set right before it was written", -year, year, 0, 0, restoredWhole},
		{"an hour ahead before it is read", 0, 0, 0, time.Hour, "s old"},
		{"an hour behind before it is read", 0, 0, 0, -time.Hour, `"event":"snapshot_ignored","cause":"it is of 3`},
		{"an hour behind, set right before it is read", 0, 0, -time.Hour, time.Hour, restoredWhole},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newFarm(t)
			file, err := operatorconfig.Parse(`(snapshot (file "kept") (every 1h))`, "n0", t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			clock := clocktest.Running(c.began)
			r := p.runOn(t, clock, file)
			one := dial(t, p.address)
			for n := range 30 {
				one.want(one.call(object(n), 1200), settled)
			}
			discard(one.conn)
			clock.Step(c.step)
			r.leave()
			ends(t, r.over, patience)
			clock = clocktest.Running(c.second)
			clock.Step(c.again)
			r = p.runOn(t, clock, file)
			r.log.wait(t, `"event":"snapshot_`, time.Second)
			if _, ok := r.log.find(c.says); !ok {
				t.Errorf("log: %v, want %q", r.log.lines, c.says)
			}
			one = dial(t, p.address)
			one.want(one.call(object(1), 1200), settled)
			discard(one.conn)
		})
	}
}
