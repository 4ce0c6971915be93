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

// testRouter is a reducer with its connections, as the process runs them, and what it has answered.
type testRouter struct {
	pool   *testPool
	dials  atomic.Int64
	mu     sync.Mutex
	counts map[router.ResponseKind]int // guarded by mu
	events []logevent.Event            // guarded by mu; of the log
}

// testSettings are the settings of a router with one class.
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

// newTestRouter starts a router with an origin and so many caches.
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

// request requests an object of its own each time, spread over all caches.
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

// responses returns how many requests were served, and how many ended otherwise.
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

// waitForResponses waits until so many requests have ended.
func (r *testRouter) waitForResponses(want int) (served, others int) {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if served, others = r.responses(); served+others == want {
			break
		}
	}
	return served, others
}

// logged returns the events of the log so far.
func (r *testRouter) logged() []logevent.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// For two seconds no connection can be opened, by each error and by all in turn: every request is answered,
// the caches are dialled a few times and not in a loop, none is ejected, and afterwards all is served.
func TestServiceThroughLocalDialErrors(t *testing.T) {
	const (
		limit  = 2500 * time.Millisecond // of a request
		margin = 800 * time.Millisecond  // half of a request's time is over before the last wait of the storm
	)
	storms := [][]error{localDialErrors}
	for _, err := range localDialErrors[:5] {
		storms = append(storms, []error{err})
	}
	for _, storm := range storms {
		t.Run(fmt.Sprint(len(storm), " ", storm[0]), func(t *testing.T) {
			t.Parallel()
			tested := newTestRouter(t, 4)
			dial := tested.pool.dial
			var failed atomic.Int64
			over := time.Now().Add(2 * time.Second)
			tested.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if time.Now().After(over) {
					return dial(ctx, network, address)
				}
				return failingDial(storm[int(failed.Add(1))%len(storm)])(ctx, network, address)
			}
			requests, early := int32(0), int32(0)
			for ; time.Now().Before(over); time.Sleep(10 * time.Millisecond) {
				requests++
				tested.request(requests, limit)
				if time.Now().Before(over.Add(-margin)) {
					early = requests
				}
			}
			if dials := tested.dials.Load(); dials < 4 || dials > 200 {
				t.Errorf("%d dials in two seconds", dials)
			}
			for range 40 {
				requests++
				tested.request(requests, limit)
				time.Sleep(5 * time.Millisecond)
			}
			served, others := tested.waitForResponses(int(requests))
			if served+others != int(requests) || served < int(requests-early) {
				t.Errorf("of %d requests %d were served and %d not; %d should be, which came late or after it",
					requests, served, others, requests-early)
			}
			checkStormLog(t, tested.logged(), storm)
		})
	}
}

// checkStormLog checks that the beginning and the end of a storm were logged, and nothing else.
func checkStormLog(t *testing.T, events []logevent.Event, storm []error) {
	t.Helper()
	for _, event := range events {
		isOfStorm := slices.ContainsFunc(storm, func(err error) bool {
			return event == router.ConnectUnavailable{Cause: "dial tcp: " + err.Error()}
		})
		if event != (router.ConnectAvailable{}) && !isOfStorm {
			t.Errorf("logged %#v", event)
		}
	}
	if len(events) != 2 {
		t.Errorf("%d events: %#v", len(events), events)
	}
}
