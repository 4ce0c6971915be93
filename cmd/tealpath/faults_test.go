package main

import (
	"strings"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// Faults of caches that the platform's pages name and the platform's bench does not play, over real connections
// to routers in processes of their own. docs/endings.md lists them.

// kill ends a cache: connections to it are refused.
func kill(cache *testkit.Cache) { cache.Kill() }

// hang has a cache read requests and never respond.
func hang(cache *testkit.Cache) { cache.SetBehavior(testkit.Hang, 0) }

// resetRequests has a cache reset each connection by which a request comes.
func resetRequests(cache *testkit.Cache) { cache.SetBehavior(testkit.ResetConnection, 0) }

// forgetConnections has a cache reset its present connections when the next request comes on them.
func forgetConnections(cache *testkit.Cache) { cache.SetBehavior(testkit.ForgetConnections, 0) }

// A fault that begins after a time without requests, which is five times as long as the router keeps idle
// connections.
func TestRequestsServedDespiteFaultAfterIdleTime(t *testing.T) {
	const (
		idleTime = 1500 * time.Millisecond
		together = 8 // requests at once, as many as one cache has capacity for
	)
	for _, c := range []struct {
		name        string
		begin       func(*testkit.Cache)
		servedFirst int // of those that come together, at least
		servedLater int
	}{
		{"a cache resets what comes", func(cache *testkit.Cache) {
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
				if served := callTogether(t, client, together); served < want {
					t.Errorf("round %d: %d of %d served", round, served, together)
				}
			}
		})
	}
}

// callTogether sends requests at once, so that the router has much to judge by, and returns how many are
// served. Each has to be answered once and within its time.
func callTogether(t *testing.T, client *testkit.Client, count int) (served int) {
	t.Helper()
	begun, inFlight := time.Now(), map[int32]bool{}
	for n := range count {
		inFlight[client.Call(testkit.ObjectID(n), clientTimeout)] = true
	}
	for len(inFlight) > 0 {
		sequence, result := client.Next()
		if took := time.Since(begun); !inFlight[sequence] || took > clientTimeout+lateness {
			t.Fatalf("response %d %q after %v", sequence, result, took)
		}
		delete(inFlight, sequence)
		if strings.Contains(result, testkit.Served) {
			served++
		}
	}
	return served
}

// Caches reset or forget connections while nothing is on them: what comes next is served.
func TestRequestsServedAfterCachesEndIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*testkit.Cache)
	}{
		{"reset", (*testkit.Cache).ResetAll},
		{"forgotten, so that the next request resets them", forgetConnections},
		{"reset just after the request has left", func(cache *testkit.Cache) {
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
			testkit.WaitUntil(t, testkit.Timeout, "both have idle connections", func() bool {
				return caches[0].OpenConnections() > 0 && caches[1].OpenConnections() > 0
			})
			for round := range 3 {
				for _, cache := range caches {
					c.end(cache)
				}
				begun := time.Now()
				for n := range 5 {
					client.ExpectServed(testkit.ObjectID(100*round+n), clientTimeout)
				}
				if took := time.Since(begun); took > 600*time.Millisecond {
					t.Errorf("five requests took %v", took)
				}
			}
		})
	}
}

// Retries and hedged requests that fail at once: one final response, as soon as nothing is left to try, and no
// more attempts than the settings allow.
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
				begun := time.Now()
				client.Expect(client.Call(object, clientTimeout), testkit.Rejected)
				if took := time.Since(begun); took > c.within+lateness {
					t.Errorf("given up on after %v, not %v", took, c.within)
				}
				if attempts := requestCount(caches, object); attempts > maxAttempts {
					t.Errorf("%d attempts", attempts)
				}
			}
			expectNoResponse(t, client, 100*time.Millisecond)
		})
	}
}

// expectNoResponse checks that no response comes for a time.
func expectNoResponse(t *testing.T, client *testkit.Client, span time.Duration) {
	t.Helper()
	testkit.SetTimeout(t, client.Conn, span)
	if sequence, result := client.Next(); sequence != testkit.ClosedSequence {
		t.Errorf("another response: %d %q", sequence, result)
	}
}
