package main

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// When the router shuts down it answers all outstanding requests, whatever state they are in.
func TestShutdownAnswersWhatIsOutstanding(t *testing.T) {
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	for _, c := range []struct {
		name     string
		deadline float64 // longest deadline of a request, in seconds
		shutdown func(t *testing.T, router *testRouter, caches []*testkit.Cache)
		within   time.Duration
	}{
		{"idle clients read EOF and no reset", 1.2, shutDownIdleClients, drainTimeout},
		{"a request to an unresponsive cache is rejected at its deadline", 5, shutDownUnresponsiveCache, drainTimeout},
		{"a deadline after the platform's SIGKILL", 7, shutDownLongDeadline, 4 * time.Second},
		{"half of a request has arrived", 1.2, shutDownHalfRequest, drainTimeout},
		{"SIGTERM twice, and then SIGHUP", 1.2, shutDownTwice, 2 * time.Second},
		{"a client closes its connection during the shutdown", 5, shutDownClosedClient, 3600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, cache := range caches {
				cache.DiscardRequests() // those of the previous test case
			}
			router := newTestRouter(t, addresses(caches), discovery.Address, c.deadline)
			ended := router.serve(t)
			startedAt := time.Now()
			c.shutdown(t, router, caches)
			testkit.ExpectNoError(t, ended, c.within)
			if took := time.Since(startedAt); took < 700*time.Millisecond {
				t.Errorf("ended after %v, want at least 700 ms, in which clients may still connect", took)
			}
			if testkit.IsListening(router.address) {
				t.Errorf("the router still listens at %s after its end", router.address)
			}
		})
	}
}

// callUnanswered sends a request that caches never respond to, and waits until a cache has received it. It returns the
// client and the sequence number.
func callUnanswered(
	t *testing.T, router *testRouter, caches []*testkit.Cache, timeout time.Duration,
) (*testkit.Client, int32) {
	t.Helper()
	client := testkit.Dial(t, router.address)
	sequence := client.Call(unanswered, timeout)
	testkit.WaitRequestFor(t, unanswered, caches...)
	return client, sequence
}

func shutDownIdleClients(t *testing.T, router *testRouter, _ []*testkit.Cache) {
	used, unused := testkit.Dial(t, router.address), testkit.Dial(t, router.address)
	used.ExpectServed(testkit.ObjectID(1), clientTimeout)
	terminate(t)
	for _, client := range []*testkit.Client{used, unused} {
		client.ExpectEOF("after SIGTERM")
		for range 5 { // if the router had closed the connection completely, the first write would cause a reset
			if _, err := client.Conn.Write([]byte{0}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		client.Close()
	}
}

func shutDownUnresponsiveCache(t *testing.T, router *testRouter, caches []*testkit.Cache) {
	client, sequence := callUnanswered(t, router, caches, 400*time.Millisecond)
	startedAt := time.Now()
	terminate(t)
	client.Expect(sequence, testkit.Rejected)
	if took := time.Since(startedAt); took > 500*time.Millisecond {
		t.Errorf("response after %v, want at most 500 ms", took)
	}
}

func shutDownLongDeadline(t *testing.T, router *testRouter, caches []*testkit.Cache) {
	client, sequence := callUnanswered(t, router, caches, 7*time.Second)
	startedAt := time.Now()
	terminate(t)
	client.Expect(sequence, testkit.Rejected)
	if took := time.Since(startedAt); took > 3500*time.Millisecond {
		t.Errorf("response after %v, want at most 3.5 s; SIGKILL comes after 3.7 s", took)
	}
}

func shutDownHalfRequest(t *testing.T, router *testRouter, _ []*testkit.Cache) {
	const firstHalf, beforeSignal, afterSignal = 20, 50 * time.Millisecond, 300 * time.Millisecond
	client := testkit.Dial(t, router.address)
	frame := client.CallFrame(testkit.ObjectID(2), clientTimeout, "body")
	testkit.Write(client.Conn, frame[:firstHalf])
	time.Sleep(beforeSignal)
	terminate(t)
	time.Sleep(afterSignal)
	testkit.Write(client.Conn, frame[firstHalf:])
	client.Expect(client.Sequence(), testkit.Served)
}

func shutDownTwice(t *testing.T, router *testRouter, caches []*testkit.Cache) {
	const betweenSignals = 20 * time.Millisecond
	client, sequence := callUnanswered(t, router, caches, time.Second)
	terminate(t)
	time.Sleep(betweenSignals)
	terminate(t)
	testkit.SignalSelf(t, syscall.SIGHUP)
	client.Expect(sequence, testkit.Rejected)
}

func shutDownClosedClient(t *testing.T, router *testRouter, caches []*testkit.Cache) {
	client, _ := callUnanswered(t, router, caches, 3*time.Second)
	terminate(t)
	client.Close() // the router must not wait for the request of a client that has disconnected
}

// A client that half-closes its connection while a request is in flight gets the response, but the router makes no
// further attempt for the request.
func TestNoRetryForHalfClosedClient(t *testing.T) {
	const halfClosePause = 50 * time.Millisecond // until the router has read the half-close; the test cannot observe it
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	router := newTestRouter(t, addresses(caches), discovery.Address, 5)
	ended := router.serve(t)
	client, sequence := callUnanswered(t, router, caches, 3*time.Second)
	if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Error(err)
	}
	time.Sleep(halfClosePause)
	caches[0].Kill()
	caches[1].Kill()
	client.Expect(sequence, testkit.Rejected)
	client.ExpectEOF("after its response")
	testkit.Dial(t, router.address).ExpectHealth(true)
	terminate(t)
	testkit.ExpectNoError(t, ended, drainTimeout)
}

// A router whose disk does not respond serves requests and ends before the platform's SIGKILL, 0.7 s after the longest
// deadline. A named pipe at the path of the snapshot simulates the disk: opening it blocks, as nobody writes to it.
func TestUnresponsiveDiskDelaysNothing(t *testing.T) {
	const deadline = 300 * time.Millisecond
	discovery := testkit.StartEventStream(t)
	router := newTestRouter(t, addresses(startCaches(t)), discovery.Address, deadline.Seconds())
	folder := t.TempDir()
	if err := syscall.Mkfifo(filepath.Join(folder, "kept"), 0o600); err != nil {
		t.Fatal(err)
	}
	operatorFile := filepath.Join(folder, "operator.sx")
	testkit.WriteFile(t, operatorFile, []byte(`(snapshot (file "kept") (every 1s))`))
	process := testkit.StartProcess(t, testkit.ProcessConfig{
		Command:     []string{buildProgram(t), "serve", "--operator", operatorFile},
		Environment: []string{"LB_CONFIG=" + router.configPath},
		Address:     router.address,
	})
	testkit.WaitListening(t, router.address)
	client := testkit.Dial(t, router.address)
	for n := range 20 {
		client.ExpectServed(testkit.ObjectID(n), deadline)
	}
	client.Close()
	signaledAt := time.Now()
	process.Signal(syscall.SIGTERM)
	endedAt, _, err := process.Wait()
	if err != nil {
		t.Error(err)
	}
	if took := endedAt.Sub(signaledAt); took >= deadline+killDelay {
		t.Errorf("ended after %v, want less than %v", took, deadline+killDelay)
	}
}
