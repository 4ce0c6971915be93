package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/router"
	"tealpath/internal/testkit"

	"github.com/rs/zerolog"
)

// knownCache is the watch events of a configuration that knows one cache, at which nobody listens.
const knownCache = `{"pos":1,"entries":[{"pos":1,"hosts":{"generation":1,"reset":true,"instances":[` +
	`{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"here","machineType":"cache",` +
	`"lifecycle":"active","weight":4}]}}]}`

// A request that has waited for the event loop must not reach the reducer if its client has left meanwhile: an attempt
// for it would begin long after the client's end.
func TestRequestsOfDepartedClientsAreNotStarted(t *testing.T) {
	raw := fmt.Appendf(nil, testConfig, testkit.FreeAddress(t), "127.0.0.1:1", knownCache, 1.0)
	c, err := config.Parse(raw, "", "")
	if err != nil {
		t.Fatal(err)
	}
	request, err := router.DecodeRequest(map[string]string{
		"verb":  "stills",
		"txn":   "00000000000000aa",
		"limit": "1000",
		"item":  "00000000000000bb",
		"nth":   "0",
		"batch": "1",
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	const departedClient = router.ClientID(7) // has no connection
	for _, test := range []struct {
		name     string
		waited   time.Duration
		inFlight int // number of requests that the reducer has then
	}{
		{"just posted", 0, 1},
		{"posted 0.2 s ago", 200 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(c, nil, zerolog.Nop())
			if _, err := s.prepare(); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			s.startUpstream(ctx, func(router.Event) {})
			s.startDownstream(testkit.Listen(t), s.poster(ctx))
			event := router.RequestReceived{Client: departedClient, Seq: 1, Request: request}
			newLoop(s, nil).receive(postedEvent{at: s.clock.Now() - int64(test.waited), event: event})
			if got := s.router.InFlight(); got != test.inFlight {
				t.Errorf("%d requests in flight, want %d", got, test.inFlight)
			}
		})
	}
}
