package main

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// The tests of this file shut down routers in separate processes while clients continue to send requests.
// docs/endings.md lists the requirements.

const (
	// killDelay is how much longer than the longest deadline the platform waits between SIGTERM and SIGKILL.
	killDelay = 700 * time.Millisecond
	// maxLateness is the longest delay of a response that may be due to other load on the machine.
	maxLateness = 250 * time.Millisecond
	// lowOnTime replaces formerOnTime in the configuration: the latency objective must be shorter than the deadline.
	formerOnTime, lowOnTime = `"onTimeS":0.4`, `"onTimeS":0.2`
)

// exchange is one request, and whether the client received a response to it.
type exchange struct {
	object   string
	sentAt   time.Time // when the request was written
	answered bool
}

// busyClient sends one request per interval on one connection until the router closes the connection.
type busyClient struct {
	t        *testing.T
	interval time.Duration
	timeout  time.Duration

	mu        sync.Mutex
	exchanges []exchange // guarded by mu; the index is the sequence number - 1
	endedAt   time.Time  // guarded by mu; when the connection ended
}

// run sends requests, for a different object each, beginning with firstObject. It returns the requests and when the
// connection ended.
func (b *busyClient) run(address string, firstObject int) (exchanges []exchange, endedAt time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.t.Error(err)
		return nil, time.Now()
	}
	defer testkit.Close(conn)
	client := testkit.NewClient(b.t, conn)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.read(client)
	}()
	for n := firstObject; ; n++ {
		select {
		case <-ended:
			return b.exchanges, b.endedAt
		case <-time.After(b.interval):
		}
		object := testkit.ObjectID(n)
		b.mu.Lock()
		b.exchanges = append(b.exchanges, exchange{object: object, sentAt: time.Now()})
		b.mu.Unlock()
		sequence := client.Call(object, b.timeout)
		b.recordWritten(sequence)
	}
}

// recordWritten sets the time of a request to now, just after it was written. The time before the write does not
// count, because this process may have waited for a CPU core then.
func (b *busyClient) recordWritten(sequence int32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges[sequence-1].sentAt = time.Now()
}

// read records responses until the connection ends.
func (b *busyClient) read(client *testkit.Client) {
	for {
		sequence, _ := client.Next()
		if !b.recordResponse(sequence) {
			return
		}
	}
}

// recordResponse records a response, or the end of the connection. It returns false if the connection has ended.
func (b *busyClient) recordResponse(sequence int32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence == testkit.ClosedSequence {
		b.endedAt = time.Now()
		return false
	}
	if b.exchanges[sequence-1].answered {
		b.t.Errorf("two responses to the request for %s", b.exchanges[sequence-1].object)
	}
	b.exchanges[sequence-1].answered = true
	return true
}

// expectNoneLost checks that each request without a response was sent shortly before its connection ended, and was not
// forwarded to a cache. stalled is how long the router could not run; it reads no requests during that time.
func expectNoneLost(
	t *testing.T, caches []*testkit.Cache, exchanges []exchange, endedAt time.Time, stalled time.Duration,
) {
	t.Helper()
	const maxCrossing = 50 * time.Millisecond // from sending a request without a response to the end of its connection
	for _, e := range exchanges {
		if e.answered {
			continue
		}
		if before := endedAt.Sub(e.sentAt); before > maxCrossing+maxLateness/2+stalled {
			t.Errorf("request for %s, sent %v before its connection ended, has no response; at most %v are allowed",
				e.object, before, maxCrossing+maxLateness/2+stalled)
		}
		if count := requestCount(caches, e.object); count > 0 {
			t.Errorf("request for %s was forwarded %d times and has no response", e.object, count)
		}
	}
}

// Caches do not respond during the whole shutdown: all requests are answered by their deadlines, and the router ends
// before it is killed.
func TestShutdownWhileCachesHang(t *testing.T) {
	// No cache responds, so each request is in flight until its deadline.
	inFlight := func(deadline time.Duration) time.Duration { return deadline }
	expectShutdownInTime(t, inFlight, func(caches []*testkit.Cache) {
		for _, cache := range caches {
			cache.SetBehavior(testkit.Hang, 0)
		}
	})
}

// The router ends before the platform's SIGKILL, which comes the longest deadline plus 0.7 s after SIGTERM, although
// clients continue to send requests and responses take 0.1 s to 0.25 s.
func TestShutdownEndsBeforeKillWhileClientsSend(t *testing.T) {
	inFlight := func(time.Duration) time.Duration { return 250 * time.Millisecond }
	expectShutdownInTime(t, inFlight, func(caches []*testkit.Cache) {
		caches[0].SetBehavior(testkit.Respond, 100*time.Millisecond)
		caches[1].SetBehavior(testkit.Respond, 250*time.Millisecond)
	})
}

// expectShutdownInTime shuts down routers with short and long deadlines while clients continue to send requests, and
// checks that no request is lost and that the routers end in time. inFlight returns how long a request is in flight.
// disturb changes the caches' behavior before the shutdown.
func expectShutdownInTime(
	t *testing.T, inFlight func(deadline time.Duration) time.Duration, disturb func([]*testkit.Cache),
) {
	t.Helper()
	const clients = 6
	const requestsInFlight = 25 // number of requests in flight per client; the router allows 32
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			router, caches, _ := newTestCell(t, deadline.Seconds(), formerOnTime, lowOnTime)
			process := router.spawnHealthy(t)
			disturb(caches)
			var all sync.WaitGroup
			var sent atomic.Int64
			var termination testkit.Termination // set before terminated is closed
			terminated := make(chan struct{})
			for n := range clients {
				all.Go(func() {
					client := &busyClient{t: t, interval: inFlight(deadline) / requestsInFlight, timeout: deadline}
					exchanges, endedAt := client.run(router.address, (n+1)*100000)
					sent.Add(int64(len(exchanges)))
					<-terminated
					expectNoneLost(t, caches, exchanges, endedAt, termination.Stalled())
				})
			}
			testkit.WaitUntil(t, testkit.Timeout, "requests of clients reach the caches", func() bool {
				return requestCount(caches, "") > clients
			})
			termination = process.Terminate()
			close(terminated)
			termination.ExpectEndWithin(deadline + killDelay)
			all.Wait()
			if sent.Load() < 5*clients {
				t.Errorf("%d requests were sent, want at least %d", sent.Load(), 5*clients)
			}
		})
	}
}

// A router without requests ends at most 0.23 s after the 0.7 s in which clients may still connect. With the deadline
// of this test, SIGKILL comes 1 s after SIGTERM. The signals are spread over a poll interval of 100 ms, because the
// duration depends on when in this interval the signal arrives. The median is checked, because other load may delay
// single routers.
func TestIdleShutdownEndsInTime(t *testing.T) {
	t.Parallel()
	const deadline, routers, pollInterval = 300 * time.Millisecond, 7, 100 * time.Millisecond
	const maxDuration = deadline + killDelay - pollInterval*7/10
	var processes []*testkit.RouterProcess
	for range routers {
		router, _, _ := newTestCell(t, deadline.Seconds(), formerOnTime, lowOnTime)
		processes = append(processes, router.spawnHealthy(t))
		testkit.Dial(t, router.address) // an idle client that does not close its connection when the router does
	}
	stalls := testkit.WatchStalls()
	var signaledAt []time.Time
	for _, process := range processes {
		signaledAt = append(signaledAt, time.Now())
		process.Signal(syscall.SIGTERM)
		time.Sleep(pollInterval / routers)
	}
	var took []time.Duration
	for n, process := range processes {
		endedAt, _, _ := process.Wait()
		took = append(took, endedAt.Sub(signaledAt[n]))
	}
	slices.Sort(took)
	if median := took[routers/2]; median > maxDuration+stalls.Stop() {
		t.Errorf("shutdowns took %v, want a median of at most %v; SIGKILL comes after %v",
			took, maxDuration, deadline+killDelay)
	}
}

// A request is not lost if it arrives on an idle connection just as the router, during its shutdown, closes it.
func TestRequestsCrossTheCloseOfIdleConnections(t *testing.T) {
	t.Parallel()
	const clients, deadline = 60, 300 * time.Millisecond
	// firstRequest is the time from the termination signal to the first request, interval the time between requests.
	const firstRequest, interval = 650 * time.Millisecond, 5 * time.Millisecond
	router, caches, _ := newTestCell(t, deadline.Seconds())
	process := router.spawnHealthy(t)
	var idle []*testkit.Client
	for n := range clients {
		client := testkit.Dial(t, router.address)
		if n%2 == 0 { // the other clients have sent no request before
			client.Expect(client.Call(testkit.ObjectID(n), deadline), "")
		}
		idle = append(idle, client)
	}
	for _, cache := range caches {
		cache.SetBehavior(testkit.Respond, 30*time.Millisecond) // so that requests are in flight when connections close
	}
	termination := process.Terminate()
	var all sync.WaitGroup
	for n, client := range idle {
		all.Go(func() {
			time.Sleep(time.Until(termination.At.Add(firstRequest + time.Duration(n)*interval)))
			e := exchange{object: testkit.ObjectID(1000 + n)}
			sequence := client.Call(e.object, deadline)
			e.sentAt = time.Now()
			got, _ := client.Next()
			e.answered = got == sequence
			expectNoneLost(t, caches, []exchange{e}, time.Now(), termination.Stalled())
		})
	}
	all.Wait()
	termination.ExpectEndWithin(deadline + killDelay)
}
