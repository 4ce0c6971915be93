package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/protocol/thrift"
	"tealpath/internal/testkit"
)

// reloadPause is how long a test waits after SIGHUP for the router to reload its configuration. The test cannot observe
// that the router has rejected a configuration.
const reloadPause = 50 * time.Millisecond

// serveTest is the state that the parts of TestServeFromStartToShutdown share: the program in this process, two caches
// and two discovery services.
type serveTest struct {
	router        *testRouter
	caches        []*testkit.Cache
	first, second *testkit.EventStream
	client        *testkit.Client
	ended         <-chan error
	goroutines    int // number of goroutines before the start
}

// The program serves real connections from its start to its shutdown. The parts depend on each other and run in order.
func TestServeFromStartToShutdown(t *testing.T) {
	s := &serveTest{
		caches: startCaches(t),
		first:  testkit.StartEventStream(t),
		second: testkit.StartEventStream(t),
	}
	s.router = newTestRouter(t, addresses(s.caches), s.first.Address, 1.2)
	s.goroutines = runtime.NumGoroutine()
	s.ended = s.router.serve(t)
	s.client = testkit.Dial(t, s.router.address)
	testkit.Dial(t, s.router.address).ExpectHealth(true)

	t.Run("a request is forwarded and served", s.testForwarded)
	t.Run("the client's copy is not modified", s.testNotModified)
	t.Run("a cancel is forwarded to the cache and gets no response", s.testCancel)
	t.Run("a request to an unresponsive cache is rejected within the client's timeout", s.testSilentCache)
	t.Run("a malformed request closes its connection", s.testMalformedRequests)
	t.Run("a negative frame length closes its connection after the requests in flight", s.testNegativeFrameLength)
	t.Run("a purge limits the accepted age of copies", func(t *testing.T) { s.expectPurge(t, 2, s.first) })
	t.Run("SIGHUP reloads only valid configurations", s.testReload)
	t.Run("a killed cache is avoided", s.testKilledCache)
	t.Run("SIGTERM drains", s.testDrain)
}

func (s *serveTest) testForwarded(t *testing.T) {
	s.client.ExpectServed(testkit.ObjectID(1), clientTimeout)
	testkit.WaitRequest(t, "with the fields queue, path, blk and budget", func(request testkit.CacheRequest) bool {
		return strings.Contains(request.Fields, "queue=stills,path="+testkit.ObjectID(1)+",blk=0,budget=")
	}, s.caches...)
}

func (s *serveTest) testNotModified(*testing.T) {
	sequence := s.client.Call(testkit.ObjectID(2), clientTimeout, "got", "4be0c1927d55a6f3")
	s.client.Expect(sequence, testkit.NotModified)
}

func (s *serveTest) testCancel(t *testing.T) {
	sequence := s.client.Call(unanswered, clientTimeout)
	testkit.WaitRequestFor(t, unanswered, s.caches...)
	s.client.Cancel(sequence)
	isAbort := func(request testkit.CacheRequest) bool { return request.Abort }
	testkit.WaitRequest(t, "to abort", isAbort, s.caches...)
	s.client.ExpectServed(testkit.ObjectID(3), clientTimeout)
}

func (s *serveTest) testSilentCache(t *testing.T) {
	startedAt := time.Now()
	silent := s.client.Call(testkit.UnansweredObjectID(2), time.Second)
	s.client.ExpectServed(testkit.ObjectID(4), clientTimeout) // a cache that hangs delays no other request
	s.client.Expect(silent, testkit.Rejected)
	if took := time.Since(startedAt); took < 900*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("rejected after %v, want 0.9 s to 1.2 s", took)
	}
}

func (s *serveTest) testMalformedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		sequence int32
		send     func(*testkit.Client)
		want     string // part of the response
	}{
		{"unknown method", 77, func(client *testkit.Client) {
			client.Send(thrift.Call, "odd", 77, []byte{0})
		}, "unknown method"},
		{"truncated arguments", 78, func(client *testkit.Client) {
			client.Send(thrift.Call, "call", 78, []byte{13, 0, 1})
		}, "cut short"},
		{"object name that is not allowed in a field", 1, func(client *testkit.Client) {
			client.Call("7f=a,miss=p-a,xx", clientTimeout)
		}, "field item"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := testkit.Dial(t, s.router.address)
			c.send(client)
			client.Expect(c.sequence, c.want)
			client.ExpectEOF("after its error")
		})
	}
}

func (s *serveTest) testNegativeFrameLength(t *testing.T) {
	other := testkit.Dial(t, s.router.address)
	sequence := other.Call(testkit.ObjectID(5), clientTimeout)
	testkit.Write(other.Conn, []byte("\xff\xff\xff\xff"))
	other.Expect(sequence, testkit.Served)
	other.ExpectEOF("after a frame of negative length")
	s.client.ExpectServed(testkit.ObjectID(5), clientTimeout)
}

// expectPurge publishes a purge and checks that the router accepts no copies from before it.
func (s *serveTest) expectPurge(t *testing.T, position int, service *testkit.EventStream) {
	t.Helper()
	const effectTimeout = 100 * time.Millisecond
	const agePause = 10 * time.Millisecond // afterwards the maximum age that the router accepts is at least 1 ms
	purgedAt := time.Now()
	object := testkit.ObjectID(1000 + position)
	service.Publish(t, fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"name\":\"%s\",\"stamp\":%d}}\n\n",
		position, position, object, purgedAt.UnixMilli()))
	askMaxAge := func() int64 {
		s.client.ExpectServed(object, clientTimeout)
		return testkit.WaitRequestFor(t, object, s.caches...).Number("within")
	}
	testkit.WaitUntil(t, effectTimeout, "the purge limits the accepted age", func() bool { return askMaxAge() >= 0 })
	time.Sleep(agePause)
	maxAge := askMaxAge()
	if sincePurge := time.Since(purgedAt); maxAge < 1 || maxAge > sincePurge.Milliseconds() {
		t.Errorf("accepted age %d ms, want at least 1 ms and at most the time since the purge, %v", maxAge, sincePurge)
	}
}

func (s *serveTest) testReload(t *testing.T) {
	reload := func() {
		testkit.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(reloadPause)
	}
	inFlight := s.client.Call(testkit.UnansweredObjectID(5), time.Second)
	for _, breakConfig := range []func(){
		func() { testkit.WriteFile(t, s.router.configPath, []byte(`{"name":"n0","jour`)) },
		func() { s.router.writeConfig(t, "n9", s.second.Address) },
		func() { s.router.writeConfig(t, "n0", "nowhere") },
		func() {
			if err := os.Remove(s.router.configPath); err != nil {
				t.Error(err)
			}
		},
	} {
		breakConfig()
		reload()
	}
	s.expectPurge(t, 3, s.first) // the router still watches the first service
	s.router.writeConfig(t, "n0", s.second.Address)
	reload()
	reload()
	s.expectPurge(t, 4, s.second)
	s.client.Expect(inFlight, testkit.Rejected)
}

func (s *serveTest) testKilledCache(*testing.T) {
	s.caches[0].Kill()
	for n := range 20 {
		s.client.ExpectServed(testkit.ObjectID(100+n), clientTimeout)
	}
}

func (s *serveTest) testDrain(t *testing.T) {
	const (
		betweenSignals = 20 * time.Millisecond
		idlePause      = 150 * time.Millisecond // time without outstanding requests, while clients may still connect
		lastRequest    = 600 * time.Millisecond // from SIGTERM to the last request; clients may connect for 0.7 s
	)
	inFlight := s.client.Call(testkit.UnansweredObjectID(3), 250*time.Millisecond)
	testkit.WaitRequestFor(t, testkit.UnansweredObjectID(3), s.caches...)
	signaledAt := time.Now()
	terminate(t)
	time.Sleep(betweenSignals)
	testkit.SignalSelf(t, syscall.SIGHUP) // while draining, the router reloads its configuration and continues to drain
	s.client.Expect(inFlight, testkit.Rejected)
	time.Sleep(idlePause)
	late := testkit.Dial(t, s.router.address)
	late.ExpectServed(testkit.ObjectID(7), clientTimeout)
	testkit.Dial(t, s.router.address).ExpectHealth(false)
	time.Sleep(time.Until(signaledAt.Add(lastRequest)))
	// The deadline of the request is after the end of the drain, so the router rejects the request before its process
	// ends.
	late.Expect(late.Call(testkit.UnansweredObjectID(4), clientTimeout), testkit.Rejected)
	testkit.ExpectNoError(t, s.ended, testkit.Timeout)
	// The caches' goroutines end with their connections; the goroutine of package os/signal remains.
	testkit.WaitUntil(t, testkit.Timeout, "all goroutines of the router have ended", func() bool {
		return runtime.NumGoroutine() <= s.goroutines+2
	})
}
