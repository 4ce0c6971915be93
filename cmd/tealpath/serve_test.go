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

// reloadPause is how long a signal to reload is given: nothing outside the process shows a configuration that
// was rejected.
const reloadPause = 50 * time.Millisecond

// serveTest is the whole program in this process, with two caches and two discovery services.
type serveTest struct {
	router        *testRouter
	caches        []*testkit.Cache
	first, second *testkit.EventStream
	client        *testkit.Client
	ended         <-chan error
	goroutines    int // before the start
}

// The whole program over loopback, from its start to its end. The parts follow upon each other.
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
	t.Run("the client's copy holds", s.testNotModified)
	t.Run("a cancel reaches the cache, and nothing is responded", s.testCancel)
	t.Run("a silent cache is given up in the client's time", s.testSilentCache)
	t.Run("a malformed request ends its connection", s.testMalformedRequests)
	t.Run("a negative frame length ends its connection behind what is in flight", s.testNegativeFrameLength)
	t.Run("a purge bounds the age of copies", func(t *testing.T) { s.expectPurge(t, 2, s.first) })
	t.Run("SIGHUP reloads a valid configuration alone", s.testReload)
	t.Run("a killed cache is avoided", s.testKilledCache)
	t.Run("SIGTERM drains", s.testDrain)
}

func (s *serveTest) testForwarded(t *testing.T) {
	s.client.ExpectServed(testkit.ObjectID(1), clientTimeout)
	testkit.WaitRequest(t, "in the form of the platform's page", func(request testkit.CacheRequest) bool {
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
	begun := time.Now()
	silent := s.client.Call(testkit.UnansweredID(2), time.Second)
	s.client.ExpectServed(testkit.ObjectID(4), clientTimeout) // it is not held up
	s.client.Expect(silent, testkit.Rejected)
	if took := time.Since(begun); took < 900*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("given up after %v", took)
	}
}

func (s *serveTest) testMalformedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		sequence int32
		send     func(*testkit.Client)
		says     string
	}{
		{"unknown method", 77, func(client *testkit.Client) {
			client.Send(thrift.Call, "odd", 77, []byte{0})
		}, "unknown method"},
		{"truncated arguments", 78, func(client *testkit.Client) {
			client.Send(thrift.Call, "call", 78, []byte{13, 0, 1})
		}, "cut short"},
		{"object that cannot be sent on", 1, func(client *testkit.Client) {
			client.Call("7f=a,miss=p-a,xx", clientTimeout)
		}, "field item"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := testkit.Dial(t, s.router.address)
			c.send(client)
			client.Expect(c.sequence, c.says)
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

// expectPurge publishes a purge, and checks that copies from before it are not accepted.
func (s *serveTest) expectPurge(t *testing.T, position int, service *testkit.EventStream) {
	t.Helper()
	const takesEffect = 100 * time.Millisecond
	const agePause = 10 * time.Millisecond // ages are in ms, so that one of some milliseconds is judged
	purgedAt := time.Now()
	object := testkit.ObjectID(1000 + position)
	service.Publish(t, fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"name\":\"%s\",\"stamp\":%d}}\n\n",
		position, position, object, purgedAt.UnixMilli()))
	askMaxAge := func() int64 {
		s.client.ExpectServed(object, clientTimeout)
		return testkit.WaitRequestFor(t, object, s.caches...).Number("within")
	}
	testkit.WaitUntil(t, takesEffect, "the purge bounds the age", func() bool { return askMaxAge() >= 0 })
	time.Sleep(agePause)
	maxAge := askMaxAge()
	if sincePurge := time.Since(purgedAt); maxAge < 1 || maxAge > sincePurge.Milliseconds() {
		t.Errorf("accepted age %d ms, %v after the purge", maxAge, sincePurge)
	}
}

func (s *serveTest) testReload(t *testing.T) {
	reload := func() {
		testkit.SignalSelf(t, syscall.SIGHUP)
		time.Sleep(reloadPause)
	}
	inFlight := s.client.Call(testkit.UnansweredID(5), time.Second)
	for _, breakConfig := range []func(){
		func() { testkit.WriteFile(t, s.router.configPath, []byte(`{"name":"n0","jour`)) },
		func() { s.router.configure(t, "n9", s.second.Address) },
		func() { s.router.configure(t, "n0", "nowhere") },
		func() {
			if err := os.Remove(s.router.configPath); err != nil {
				t.Error(err)
			}
		},
	} {
		breakConfig()
		reload()
	}
	s.expectPurge(t, 3, s.first) // which is watched still
	s.router.configure(t, "n0", s.second.Address)
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
		idlePause      = 150 * time.Millisecond // nothing is outstanding, but clients still come
		lastRequest    = 600 * time.Millisecond // within the 0.7 s for which clients come
	)
	inFlight := s.client.Call(testkit.UnansweredID(3), 250*time.Millisecond)
	testkit.WaitRequestFor(t, testkit.UnansweredID(3), s.caches...)
	told := time.Now()
	terminate(t)
	time.Sleep(betweenSignals)
	testkit.SignalSelf(t, syscall.SIGHUP) // while it drains: it reads the configuration, and drains on
	s.client.Expect(inFlight, testkit.Rejected)
	time.Sleep(idlePause)
	late := testkit.Dial(t, s.router.address)
	late.ExpectServed(testkit.ObjectID(7), clientTimeout)
	testkit.Dial(t, s.router.address).ExpectHealth(false)
	time.Sleep(time.Until(told.Add(lastRequest)))
	// Its deadline is beyond all that the router waits for, so it is rejected before the router ends.
	late.Expect(late.Call(testkit.UnansweredID(4), clientTimeout), testkit.Rejected)
	testkit.ExpectEnd(t, s.ended, testkit.Timeout)
	// The goroutines of caches end with their connections; that of the signals stays.
	testkit.WaitUntil(t, testkit.Timeout, "no goroutine is left behind", func() bool {
		return runtime.NumGoroutine() <= s.goroutines+2
	})
}
