package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"tealpath/internal/clock/clocktest"
	"tealpath/internal/testkit"
)

// If deadlines were times of the wall clock, a step of it would end a request in flight too early or too late.
func TestClockStepKeepsDeadlineOfRequestInFlight(t *testing.T) {
	forEachStep(t, func(t *testing.T, test clockTest, step time.Duration) {
		clock := clocktest.Running(0)
		test.serveOn(t, clock, nil)
		waiting, served := testkit.Dial(t, test.address), testkit.Dial(t, test.address)
		startedAt := time.Now()
		sequence := waiting.Call(unanswered, 700*time.Millisecond)
		testkit.WaitRequestFor(t, unanswered, test.caches...)
		clock.Step(step)
		served.ExpectServed(testkit.ObjectID(1), clientTimeout)
		waiting.Expect(sequence, testkit.Rejected)
		if took := time.Since(startedAt); took < 500*time.Millisecond || took > 850*time.Millisecond {
			t.Errorf("response after %v, want 500 ms to 850 ms for a timeout of 700 ms", took)
		}
		clock.Step(-step)
		served.ExpectServed(testkit.ObjectID(2), clientTimeout)
	})
}

// If a drain were measured by the wall clock, a step of it would end the router before a request in flight is
// answered, or too late.
func TestClockStepKeepsDurationOfDrain(t *testing.T) {
	forEachStep(t, func(t *testing.T, test clockTest, step time.Duration) {
		clock := clocktest.Running(0)
		router := test.serveOn(t, clock, nil)
		waiting := testkit.Dial(t, test.address)
		startedAt := time.Now()
		sequence := waiting.Call(unanswered, clientTimeout)
		testkit.WaitRequestFor(t, unanswered, test.caches...)
		router.shutDown()
		router.log.wait(t, `"phase":"draining"`, testkit.Timeout)
		clock.Step(step)
		late := testkit.Dial(t, test.address)
		late.ExpectServed(testkit.ObjectID(1), clientTimeout)
		waiting.Expect(sequence, testkit.Rejected)
		answered := time.Since(startedAt)
		waiting.Close()
		late.Close()
		testkit.ExpectNoError(t, router.ended, testkit.Timeout)
		ended := time.Since(startedAt)
		if answered < 600*time.Millisecond || answered > 1350*time.Millisecond {
			t.Errorf("response after %v, want 600 ms to 1.35 s for a timeout of 1.2 s", answered)
		}
		if ended < 700*time.Millisecond || ended > 2*time.Second {
			t.Errorf("the router ended after %v, want 700 ms to 2 s", ended)
		}
	})
}

// If the backoff were measured by the wall clock, a step of it would let a failed cache be tried again too early or
// too late.
func TestClockStepKeepsBackoff(t *testing.T) {
	forEachStep(t, func(t *testing.T, test clockTest, step time.Duration) {
		const ejected, restored = `"event":"endpoint_ejected"`, `"event":"endpoint_restored"`
		clock := clocktest.Running(0)
		router := test.serveOn(t, clock, nil)
		test.caches[0].Kill()
		sent := 0
		for ; sent < 500; sent++ {
			if _, down := router.log.find(ejected); down {
				break
			}
			test.expectServed(t, sent)
		}
		down := router.log.wait(t, ejected, time.Second)
		clock.Step(step)
		testkit.StartCacheAt(t, test.caches[0].Address(), nil)
		testkit.WaitUntil(t, testkit.Timeout, "the cache is restored", func() bool {
			test.expectServed(t, sent)
			sent++
			_, up := router.log.find(restored)
			return up
		})
		up := router.log.wait(t, restored, time.Second)
		if after := up.Sub(down); after < 900*time.Millisecond || after > 3*time.Second {
			t.Errorf("the cache was restored after %v, want 0.9 s to 3 s for a backoff of 1 s", after)
		}
	})
}

// A step of the wall clock does not change how long the slow start of a cache takes. A cache gets few requests during
// its slow start, and its full share afterwards.
func TestClockStepKeepsSlowStart(t *testing.T) {
	forEachStep(t, func(t *testing.T, test clockTest, step time.Duration) {
		const slowStart = 3200 * time.Millisecond
		const listPause = 50 * time.Millisecond // until the router has applied the list; the test cannot observe it
		test.replaceInConfig(t, `"obligations":{`, `"obligations":{"coldFrom":0.1,"warmUpS":3,"overloadFactor":1,"fallS":1,`)
		clock := clocktest.Running(0)
		test.serveOn(t, clock, nil)
		test.sendRequests(t, 300*time.Millisecond, 0)
		if test.caches[1].DiscardRequests() == 0 {
			t.Fatal("the second cache got no requests before its restart")
		}
		startedAt := time.Now()
		test.publishRestart(t, startedAt)
		time.Sleep(listPause)
		test.caches[1].DiscardRequests()
		clock.Step(step)
		sent := test.sendRequests(t, time.Second, 1000)
		cold := test.caches[1].DiscardRequests()
		time.Sleep(time.Until(startedAt.Add(slowStart)))
		later := test.sendRequests(t, time.Second, 5000)
		warm := test.caches[1].DiscardRequests()
		if cold > sent/8 || warm < later/4 {
			t.Errorf("the restarted cache got %d of %d requests in its first second, want at most 1 in 8; "+
				"after its slow start %d of %d, want at least 1 in 4", cold, sent, warm, later)
		}
	})
}

// sendRequests sends one request every 5 ms during the time span, each for a different object, numbered from
// firstObject. It returns the number of requests that it sent.
func (test clockTest) sendRequests(t *testing.T, span time.Duration, firstObject int) (sent int) {
	t.Helper()
	const interval = 5 * time.Millisecond
	client := testkit.Dial(t, test.address)
	defer client.Close()
	for end := time.Now().Add(span); time.Now().Before(end); sent++ {
		client.ExpectServed(testkit.ObjectID(firstObject+sent), clientTimeout)
		time.Sleep(interval)
	}
	return sent
}

// publishRestart publishes a watch event that reports that the second cache started at the time at.
func (test clockTest) publishRestart(t *testing.T, at time.Time) {
	t.Helper()
	test.discovery.Publish(t, fmt.Sprintf("id: 2\ndata: {\"pos\":2,\"hosts\":{\"generation\":2,\"instances\":["+
		"{\"instanceId\":\"s-b\",\"hostPort\":\"%s\",\"zone\":\"here\",\"machineType\":\"cache\","+
		"\"lifecycle\":\"active\",\"weight\":4,\"startedAtMs\":%d}]}}\n\n", test.caches[1].Address(), at.UnixMilli()))
}

// sharedCopy is the copy of an object that all caches of a test hold. If a request accepts only younger copies, the
// caches refetch the object.
type sharedCopy struct {
	mu     sync.Mutex
	issued time.Time // guarded by mu; when the copy was issued
}

// issuedFor returns the time at which the copy in the response to a request was issued.
func (c *sharedCopy) issuedFor(request testkit.CacheRequest) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	maxAge := time.Duration(request.Number("within")) * time.Millisecond
	if maxAge > 0 && time.Since(c.issued) > maxAge {
		c.issued = time.Now()
	}
	return c.issued
}

// isBefore reports whether the caches still hold a copy that was issued before the time at.
func (c *sharedCopy) isBefore(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.issued.Before(at)
}

// After the router has received a purge, it serves no copy from before the purge, even if the wall clock has an offset
// and steps.
func TestClockStepServesNoPurgedCopy(t *testing.T) {
	t.Parallel()
	const year = 365 * 24 * time.Hour
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, year} { // error of the wall clock at the start
		for _, step := range clockSteps {
			t.Run(fmt.Sprintf("offset %v, step %v", offset, step), func(t *testing.T) {
				t.Parallel()
				expectNoPurgedCopy(t, offset, step)
			})
		}
	}
}

// expectNoPurgedCopy starts a router whose wall clock has an offset, purges an object, steps the wall clock, and checks
// that copies from before the purge are not served.
func expectNoPurgedCopy(t *testing.T, offset, step time.Duration) {
	t.Helper()
	// The purge takes effect within purgePause. The test sends no request meanwhile, because it would make the caches
	// refetch the object.
	const purgePause = 100 * time.Millisecond
	purgedAt := time.Now().Add(-20 * time.Millisecond)
	held := &sharedCopy{issued: purgedAt.Add(-time.Second)}
	test := newClockTest(t, held.issuedFor)
	clock := clocktest.Running(offset)
	test.serveOn(t, clock, nil)
	client := testkit.Dial(t, test.address)
	client.ExpectServed(testkit.ObjectID(1), clientTimeout)
	test.discovery.Publish(t, fmt.Sprintf("id: 2\ndata: {\"pos\":2,\"expire\":{\"set\":17,\"stamp\":%d}}\n\n",
		purgedAt.UnixMilli()))
	time.Sleep(purgePause)
	clock.Step(step)
	for range 20 {
		client.ExpectServed(testkit.ObjectID(1), clientTimeout)
		if held.isBefore(purgedAt) {
			t.Fatalf("a copy from before the purge at %v was served", purgedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
