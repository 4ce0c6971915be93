package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"
	"tealpath/internal/testkit"

	"github.com/rs/zerolog"
)

// clockSteps are the steps of the wall clock that the tests make; a negative step sets it back.
var clockSteps = []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// timedLog records the log lines of a router and when each was written.
type timedLog struct {
	mu    sync.Mutex
	lines []string    // guarded by mu
	times []time.Time // guarded by mu; when each of lines was written
}

// Write records a log line and when it was written. raw is the line.
func (l *timedLog) Write(raw []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(bytes.TrimSpace(raw)))
	l.times = append(l.times, time.Now())
	return len(raw), nil
}

// find returns when the first line that contains part was written, and whether there is one.
func (l *timedLog) find(part string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, line := range l.lines {
		if strings.Contains(line, part) {
			return l.times[i], true
		}
	}
	return time.Time{}, false
}

// all returns the lines written so far.
func (l *timedLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

// wait waits for a line that contains part and returns when it was written. It fails the test if there is none within
// bound.
func (l *timedLog) wait(t *testing.T, part string, bound time.Duration) (at time.Time) {
	t.Helper()
	testkit.WaitUntil(t, bound, "a line with "+part, func() (ok bool) {
		at, ok = l.find(part)
		return ok
	})
	return at
}

// clockedRouter is a router in this process, with real connections and a clock that the test provides.
type clockedRouter struct {
	log      *timedLog
	shutDown func()
	ended    <-chan error
}

// serveOn starts a router that uses the clock c, and waits until it listens. The router ends with the test.
func (r *testRouter) serveOn(t *testing.T, c clock.Clock, file *operatorconfig.File) clockedRouter {
	t.Helper()
	environment := map[string]string{"LB_CONFIG": r.configPath, "LB_LISTEN": r.address}
	parsed, err := config.Load(func(name string) string { return environment[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	shutdownRequested, ended, done := make(chan struct{}), make(chan error, 1), make(chan struct{})
	log := &timedLog{}
	go func() {
		defer close(done)
		served := server.New(parsed, file, zerolog.New(log), server.WithClock(c))
		ended <- served.Run(ctx, shutdownRequested, nil, neverReload)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	testkit.WaitListening(t, r.address)
	return clockedRouter{log: log, shutDown: sync.OnceFunc(func() { close(shutdownRequested) }), ended: ended}
}

func neverReload() (server.Loaded, error) {
	return server.Loaded{}, errors.New("reload is not supported in this test")
}

// clockTest has the configuration of a router, and the caches and the discovery service that the configuration names.
type clockTest struct {
	*testRouter
	caches    []*testkit.Cache
	discovery *testkit.EventStream
}

// newClockTest starts two caches and a discovery service, and writes the configuration of a router. issued returns the
// time at which the copy in a cache's response was issued; if issued is nil, this is the time of the response.
func newClockTest(t *testing.T, issued func(testkit.CacheRequest) time.Time) clockTest {
	t.Helper()
	test := clockTest{discovery: testkit.StartEventStream(t)}
	for range 2 {
		test.caches = append(test.caches, testkit.StartCacheAt(t, "127.0.0.1:0", issued))
	}
	test.testRouter = newTestRouter(t, addresses(test.caches), test.discovery.Address, 1.2)
	return test
}

// forEachStep runs a test for each of clockSteps in parallel, each with its own caches and discovery service.
func forEachStep(t *testing.T, run func(t *testing.T, test clockTest, step time.Duration)) {
	t.Helper()
	t.Parallel()
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			run(t, newClockTest(t, nil), step)
		})
	}
}

// expectServed requests object n on a new connection and checks that it is served.
func (test clockTest) expectServed(t *testing.T, n int) {
	t.Helper()
	client := testkit.Dial(t, test.address)
	defer client.Close()
	client.ExpectServed(testkit.ObjectID(n), clientTimeout)
}
