package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// testRouter runs a reducer with a pool of connections, and records the reducer's responses and log events.
type testRouter struct {
	pool   *testPool
	dials  atomic.Int64
	mu     sync.Mutex
	counts map[router.ResponseKind]int // number of responses of each kind; guarded by mu
	events []logevent.Event            // guarded by mu; log events of the reducer
}

// testSettings returns the settings of a router that serves the single class "stills".
func testSettings() control.Settings {
	parent, origin := "parent", "origin"
	settings := control.DefaultSettings()
	settings.Location = "here"
	settings.LocationRouters = 1
	settings.ParentKind, settings.OriginKind = &parent, &origin
	settings.MaxAttempts = 3
	settings.CancelAttempts = true
	settings.ConnectTimeout = int64(400 * time.Millisecond)
	settings.IdleTimeout = int64(30 * time.Second)
	settings.MaxStreamsPerConnection = 100
	settings.LongestDeadline = int64(2500 * time.Millisecond)
	settings.Classes = []control.ClassSettings{{
		Name:             "stills",
		LatencyObjective: int64(time.Second),
		FreshDuration:    int64(8 * time.Second),
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	return settings
}

// newTestRouter starts a reducer that knows an origin and the given number of emulated caches.
func newTestRouter(t *testing.T, caches int) *testRouter {
	t.Helper()
	tested := &testRouter{pool: newTestPool(t, Config{}), counts: map[router.ResponseKind]int{}}
	limits := router.Limits{MaxConnections: 50, MaxInFlight: 1000, MaxBodyBytes: 1 << 20}
	reducer := router.New(time.Now().UnixNano(), 7, testSettings(), limits)
	endpoint := func(instance, kind string, capacity float64) router.EndpointEntry {
		return router.EndpointEntry{
			Instance: instance,
			Address:  startCache(t).Address(),
			Endpoint: control.Endpoint{Location: "here", Kind: kind, Phase: "ready", Capacity: capacity},
		}
	}
	list := router.EndpointListUpdated{
		Complete: true,
		Entries:  []router.EndpointEntry{endpoint("o", "origin", 200)},
	}
	for i := range caches {
		list.Entries = append(list.Entries, endpoint(fmt.Sprint("s-", i), "cache", 100))
	}
	go func() {
		timer := time.NewTimer(time.Hour)
		tested.handle(reducer, timer, list)
		for {
			select {
			case event := <-tested.pool.events:
				tested.handle(reducer, timer, event)
			case <-timer.C:
				tested.handle(reducer, timer, router.TimerFired{})
			case <-t.Context().Done():
				return
			}
		}
	}()
	return tested
}

func (r *testRouter) handle(reducer *router.Router, timer *time.Timer, event router.Event) {
	for _, effect := range reducer.Handle(time.Now().UnixNano(), event) {
		switch effect := effect.(type) {
		case router.Dial:
			r.dials.Add(1)
			r.pool.Dial(effect)
		case router.Send:
			r.pool.Send(effect)
		case router.CancelAttempt:
			r.pool.CancelAttempt(effect)
		case router.Close:
			r.pool.Close(effect)
		case router.SetTimer:
			timer.Reset(time.Duration(effect.At - time.Now().UnixNano()))
		case router.Respond:
			r.mu.Lock()
			r.counts[effect.Kind]++
			r.mu.Unlock()
		case router.Log:
			r.mu.Lock()
			r.events = append(r.events, effect.Event)
			r.mu.Unlock()
		}
	}
}

// request hands the reducer a request with the given sequence number and time limit. Each sequence number requests a
// different object, so that the requests are spread over all caches.
func (r *testRouter) request(seq int32, limit time.Duration) {
	request, err := router.DecodeRequest(map[string]string{
		"verb":  "stills",
		"txn":   fmt.Sprintf("%016x", seq),
		"limit": fmt.Sprint(limit.Milliseconds()),
		"item":  fmt.Sprintf("%016x", uint64(seq)*0x9e3779b97f4a7c15),
		"nth":   "0",
		"batch": "17",
	}, []byte("q"))
	r.pool.events <- router.RequestReceived{Client: 1, Seq: seq, Request: request, DecodeError: err}
}

// responses returns how many requests have been served and how many have ended otherwise.
func (r *testRouter) responses() (served, others int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, n := range r.counts {
		if kind == router.Served {
			served += n
		} else {
			others += n
		}
	}
	return served, others
}

// waitForResponses returns the result of responses once that many requests have ended, or after 4 s.
func (r *testRouter) waitForResponses(want int) (served, others int) {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if served, others = r.responses(); served+others == want {
			break
		}
	}
	return served, others
}

// logged returns a copy of the log events so far.
func (r *testRouter) logged() []logevent.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// For two seconds every dial fails with a local error: one subtest cycles through all errors, the others repeat one.
// Every request must get a response, dials must back off, no endpoint may be ejected (only the outage is logged), and
// requests that have enough time left when the outage ends must be served.
func TestServiceThroughLocalDialErrors(t *testing.T) {
	const (
		limit = 2500 * time.Millisecond // time limit of each request

		// Requests sent within margin before the end of the outage, or later, must be served. Earlier ones may fail:
		// half of their time limit may have passed before the last backoff delay is over.
		margin = 800 * time.Millisecond
	)
	outages := [][]error{localDialErrors}
	for _, err := range localDialErrors[:5] {
		outages = append(outages, []error{err})
	}
	for _, injected := range outages {
		t.Run(fmt.Sprint(len(injected), " ", injected[0]), func(t *testing.T) {
			t.Parallel()
			tested := newTestRouter(t, 4)
			dial := tested.pool.dial
			var failed atomic.Int64
			outageEnd := time.Now().Add(2 * time.Second)
			tested.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().After(outageEnd) {
					return dial(ctx, network, address)
				}
				return failingDial(injected[int(failed.Add(1))%len(injected)])(ctx, network, address)
			}
			requests, early := int32(0), int32(0)
			for ; time.Now().Before(outageEnd); time.Sleep(10 * time.Millisecond) {
				requests++
				tested.request(requests, limit)
				if time.Now().Before(outageEnd.Add(-margin)) {
					early = requests
				}
			}
			if dials := tested.dials.Load(); dials < 4 || dials > 200 {
				t.Errorf("%d dials in the two seconds of the outage, want 4 to 200", dials)
			}
			for range 40 {
				requests++
				tested.request(requests, limit)
				time.Sleep(5 * time.Millisecond)
			}
			served, others := tested.waitForResponses(int(requests))
			if served+others != int(requests) || served < int(requests-early) {
				t.Errorf("of %d requests, %d were served and %d ended otherwise; want all to end and at least %d served",
					requests, served, others, requests-early)
			}
			checkOutageLog(t, tested.logged(), injected)
		})
	}
}

// checkOutageLog checks that two events were logged, and that each is either the beginning of the outage, with one of
// the injected errors, or its end.
func checkOutageLog(t *testing.T, events []logevent.Event, injected []error) {
	t.Helper()
	for _, event := range events {
		isOutage := slices.ContainsFunc(injected, func(err error) bool {
			return event == router.ConnectUnavailable{Cause: "dial tcp: " + err.Error()}
		})
		if event != (router.ConnectAvailable{}) && !isOutage {
			t.Errorf("logged %#v, want only ConnectUnavailable with an injected error, and ConnectAvailable", event)
		}
	}
	if len(events) != 2 {
		t.Errorf("%d log events, want 2: %#v", len(events), events)
	}
}
