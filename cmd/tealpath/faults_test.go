package main

import (
	"strings"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// The tests of this file use real connections to routers in separate processes. They cover faults of caches that the
// documentation of the platform on which the routers run describes, but that the platform's test bench does not
// simulate. docs/endings.md lists them.

// kill ends a cache, so that connections to it are refused.
func kill(cache *testkit.Cache) { cache.Kill() }

// hang makes a cache read requests and never respond.
func hang(cache *testkit.Cache) { cache.SetBehavior(testkit.Hang, 0) }

// resetRequests makes a cache reset each connection on which it receives a request.
func resetRequests(cache *testkit.Cache) { cache.SetBehavior(testkit.ResetConnection, 0) }

// forgetConnections makes a cache reset each of its current connections on the next request.
func forgetConnections(cache *testkit.Cache) { cache.SetBehavior(testkit.ResetOldConnections, 0) }

// A cache becomes faulty after a pause in the requests that is five times as long as the router keeps idle
// connections. The other cache serves the requests that follow. Only if the faulty cache hangs may the first of them
// fail.
func TestRequestsServedDespiteFaultAfterIdleTime(t *testing.T) {
	const (
		idleTime  = 1500 * time.Millisecond
		batchSize = 8 // number of requests sent at once, which equals the capacity of one cache
	)
	for _, c := range []struct {
		name        string
		begin       func(*testkit.Cache)
		servedFirst int // minimum number of served requests in the first round
		servedLater int // minimum number of served requests in each later round
	}{
		{"a cache resets connections", func(cache *testkit.Cache) {
			cache.ResetAll()
			resetRequests(cache)
		}, 8, 8},
		{"a cache is down", kill, 8, 8},
		{"a cache hangs", hang, 0, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			router, caches, _ := newTestCell(t, 1.2, `"connIdleS":30`, `"connIdleS":0.3`)
			router.spawnHealthy(t)
			client := testkit.Dial(t, router.address)
			for n := range 20 {
				client.ExpectServed(testkit.ObjectID(n), clientTimeout)
			}
			time.Sleep(idleTime)
			c.begin(caches[0])
			for round := range 3 {
				want := c.servedLater
				if round == 0 {
					want = c.servedFirst
				}
				if served := callConcurrently(t, client, batchSize); served < want {
					t.Errorf("round %d: %d of %d requests served, want at least %d", round, served, batchSize, want)
				}
			}
		})
	}
}

// callConcurrently sends count requests at once, so that the router gets enough results to eject a cache. It returns
// how many are served, and checks that each request gets exactly one response in time.
func callConcurrently(t *testing.T, client *testkit.Client, count int) (served int) {
	t.Helper()
	startedAt, inFlight := time.Now(), map[int32]bool{}
	for n := range count {
		inFlight[client.Call(testkit.ObjectID(n), clientTimeout)] = true
	}
	for len(inFlight) > 0 {
		sequence, result := client.Next()
		if took := time.Since(startedAt); !inFlight[sequence] || took > clientTimeout+maxLateness {
			t.Fatalf("response %d %q after %v, want one response to each request within %v",
				sequence, result, took, clientTimeout+maxLateness)
		}
		delete(inFlight, sequence)
		if strings.Contains(result, testkit.Served) {
			served++
		}
	}
	return served
}

// A request must not fail because a cache has reset or forgotten the connection while it was idle.
func TestRequestsServedAfterCachesEndIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*testkit.Cache)
	}{
		{"reset", (*testkit.Cache).ResetAll},
		{"forgotten: reset by the next request", forgetConnections},
		{"forgotten, and reset just after the next request is sent", func(cache *testkit.Cache) {
			forgetConnections(cache)
			time.AfterFunc(time.Millisecond, cache.ResetAll)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			router, caches, _ := newTestCell(t, 1.2)
			router.spawnHealthy(t)
			client := testkit.Dial(t, router.address)
			for n := range 20 {
				client.ExpectServed(testkit.ObjectID(n), clientTimeout)
			}
			testkit.WaitUntil(t, testkit.Timeout, "both caches have idle connections", func() bool {
				return caches[0].OpenConnections() > 0 && caches[1].OpenConnections() > 0
			})
			for round := range 3 {
				for _, cache := range caches {
					c.end(cache)
				}
				startedAt := time.Now()
				for n := range 5 {
					client.ExpectServed(testkit.ObjectID(100*round+n), clientTimeout)
				}
				if took := time.Since(startedAt); took > 600*time.Millisecond {
					t.Errorf("five requests took %v, want at most 600 ms", took)
				}
			}
		})
	}
}

// If all retries and hedged requests fail, the client gets exactly one response, as soon as there is nothing left to
// try, and the router makes no more attempts than the settings allow.
func TestFailedRetriesEndInOneResponse(t *testing.T) {
	const maxAttempts = 6
	for _, c := range []struct {
		name          string
		first, second func(*testkit.Cache)
		within        time.Duration
	}{
		{"both caches reset", resetRequests, resetRequests, 400 * time.Millisecond},
		{"one resets, one refuses", resetRequests, kill, 700 * time.Millisecond},
		{"one hangs, and hedged requests are reset", hang, resetRequests, clientTimeout},
		{"both refuse", kill, kill, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			router, caches, _ := newTestCell(t, 1.2)
			router.spawnHealthy(t)
			client := testkit.Dial(t, router.address)
			for n := range 10 {
				client.ExpectServed(testkit.ObjectID(n), clientTimeout)
			}
			c.first(caches[0])
			c.second(caches[1])
			for n := range 2 {
				object := testkit.ObjectID(500 + n)
				startedAt := time.Now()
				client.Expect(client.Call(object, clientTimeout), testkit.Rejected)
				if took := time.Since(startedAt); took > c.within+maxLateness {
					t.Errorf("rejected after %v, want at most %v", took, c.within+maxLateness)
				}
				if attempts := requestCount(caches, object); attempts > maxAttempts {
					t.Errorf("%d attempts for one request, at most %d are allowed", attempts, maxAttempts)
				}
			}
			expectNoResponse(t, client, 100*time.Millisecond)
		})
	}
}

// expectNoResponse checks that the client receives no response during the time span.
func expectNoResponse(t *testing.T, client *testkit.Client, span time.Duration) {
	t.Helper()
	testkit.SetTimeout(t, client.Conn, span)
	if sequence, result := client.Next(); sequence != testkit.ClosedSequence {
		t.Errorf("unexpected response %d %q", sequence, result)
	}
}
