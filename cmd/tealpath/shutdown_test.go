package main

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// What is outstanding when the router is told to end, in each state that a request can be in, over real
// connections.
func TestShutdownAnswersWhatIsOutstanding(t *testing.T) {
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	for _, c := range []struct {
		name     string
		deadline float64 // the longest of clients, in seconds
		shutdown func(t *testing.T, router *testRouter, caches []*testkit.Cache)
		within   time.Duration
	}{
		{"idle clients read the end and are not reset", 1.2, shutDownIdleClients, drainTimeout},
		{"an unresponsive cache is given up at the client's deadline", 5, shutDownUnresponsiveCache, drainTimeout},
		{"a deadline beyond what the platform leaves", 7, shutDownLongDeadline, 4 * time.Second},
		{"half a request has come", 1.2, shutDownHalfRequest, drainTimeout},
		{"told twice, and a new configuration after that", 1.2, shutDownTwice, 2 * time.Second},
		{"a client closes as the router ends", 5, shutDownClosedClient, 3600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, cache := range caches {
				cache.Drain() // what the case before has left behind
			}
			router := newTestRouter(t, addresses(caches), discovery.Address, c.deadline)
			ended := router.serve(t)
			begun := time.Now()
			c.shutdown(t, router, caches)
			testkit.ExpectEnd(t, ended, c.within)
			if took := time.Since(begun); took < 700*time.Millisecond {
				t.Errorf("ended after %v, while clients come still", took)
			}
			if testkit.IsListening(router.address) {
				t.Error("it listens still")
			}
		})
	}
}

// callUnanswered sends a call that caches leave without a response, and waits until it has come to one.
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
		client.ExpectEOF("after the router was told to end")
		for range 5 { // over a connection that was closed, not half-closed, the first write would bring a reset
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
	begun := time.Now()
	terminate(t)
	client.Expect(sequence, testkit.Rejected)
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("response after %v", took)
	}
}

func shutDownLongDeadline(t *testing.T, router *testRouter, caches []*testkit.Cache) {
	client, sequence := callUnanswered(t, router, caches, 7*time.Second)
	begun := time.Now()
	terminate(t)
	client.Expect(sequence, testkit.Rejected)
	if took := time.Since(begun); took > 3500*time.Millisecond {
		t.Errorf("response after %v, killed after 3.7 s", took)
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
	client.Close() // nobody is left who waits, so nothing of it keeps the router
}

// A client that has half-closed with a request in flight gets the response, and no further attempt is made for
// it.
func TestNoRetryForHalfClosedClient(t *testing.T) {
	const halfClosePause = 50 * time.Millisecond // nothing outside the router shows that it has read the end
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
	testkit.ExpectEnd(t, ended, drainTimeout)
}

// A real process whose disk does not respond: a named pipe in the snapshot's place, which nobody writes to,
// stops whoever opens it. It serves, and ends before it is killed, 0.7 s after the longest deadline.
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
	told := time.Now()
	process.Signal(syscall.SIGTERM)
	endedAt, _, err := process.Wait()
	if err != nil {
		t.Error(err)
	}
	if took := endedAt.Sub(told); took >= deadline+killDelay {
		t.Errorf("ended after %v", took)
	}
}
