package discovery

import (
	"fmt"
	"strings"
	"testing"

	"tealpath/internal/protocol/sse"
)

// newPurge returns a server-sent event with a purge. The purged group has the number position.
func newPurge(position int) sse.Event {
	data := fmt.Appendf(nil, `{"pos":%d,"expire":{"set":%d,"stamp":1}}`, position, position)
	return sse.Event{ID: fmt.Sprint(position), Data: data}
}

// newList returns a server-sent event with a complete endpoint list of the given number of endpoints.
func newList(position, generation, endpoints int) sse.Event {
	var instances []string
	for n := range endpoints {
		instance := fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"10.1.0.%d:1","lifecycle":"active"}`, n, n)
		instances = append(instances, instance)
	}
	data := fmt.Appendf(nil, `{"pos":%d,"hosts":{"generation":%d,"reset":true,"instances":[%s]}}`,
		position, generation, strings.Join(instances, ","))
	return sse.Event{ID: fmt.Sprint(position), Data: data}
}

func TestEventsAreProcessedInOrder(t *testing.T) {
	purge, list := newPurge, newList
	invalid := sse.Event{ID: "5", Data: []byte("{")}
	for _, test := range []struct {
		name     string
		in       []sse.Event
		posted   int    // watch events that the watcher must post
		errors   int    // events for which processEvent must return an error
		position int64  // position of the last processed or skipped event
		logged   string // names of the logged events, separated by spaces
	}{
		{"in order", []sse.Event{purge(5), purge(6)}, 2, 0, 6, ""},
		{"repetitions are ignored", []sse.Event{purge(4), purge(5), purge(5), purge(3)}, 1, 0, 5, ""},
		{"missing events are requested again", []sse.Event{purge(6), purge(5), purge(6)}, 2, 1, 6, ""},
		{
			"events that remain missing are skipped",
			[]sse.Event{purge(6), purge(6), purge(6), purge(6)},
			1, 3, 6,
			"watch_events_missing",
		},
		{
			"a complete list needs no events before it",
			[]sse.Event{{ID: "9", Data: []byte(listJSON(9, true, "active"))}},
			1, 0, 9,
			"",
		},
		{
			"an empty list is used when it is sent twice",
			[]sse.Event{list(9, 7, 5), list(10, 8, 0), list(10, 8, 0)},
			2, 1, 10,
			"endpoint_list_unconfirmed",
		},
		{
			"an empty list is followed by a full one",
			[]sse.Event{list(9, 7, 5), list(10, 8, 0), list(10, 8, 6)},
			2, 1, 10,
			"endpoint_list_unconfirmed",
		},
		{
			"a list with a third of the endpoints",
			[]sse.Event{list(9, 7, 6), list(10, 8, 2)},
			1, 1, 9,
			"endpoint_list_unconfirmed",
		},
		{"a stale list", []sse.Event{list(9, 7, 5), list(6, 6, 5)}, 1, 0, 9, ""},
		{"a restarted service", []sse.Event{list(9, 7, 5), list(1, 8, 5), purge(2)}, 3, 0, 2, "discovery_renumbered"},
		{"a restarted service with the same generation", []sse.Event{list(9, 7, 5), list(1, 7, 5), purge(10)}, 2, 0, 10, ""},
		{"an invalid event is valid when it is sent again", []sse.Event{invalid, purge(5)}, 1, 1, 5, ""},
		{
			"an event that remains invalid is skipped",
			[]sse.Event{invalid, invalid, invalid, invalid, purge(6)},
			1, 3, 6,
			"watch_event_skipped",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			watcher := newTestWatcher("", History{Position: 4}, nil)
			failed := 0
			for _, event := range test.in {
				if watcher.processEvent(event) != nil {
					failed++
				}
			}
			posted := len(watcher.events)
			if posted != test.posted || failed != test.errors || watcher.position != test.position {
				t.Errorf("%d posted, %d errors, position %d; want %d, %d, %d",
					posted, failed, watcher.position, test.posted, test.errors, test.position)
			}
			if logged := watcher.loggedNames(); logged != test.logged {
				t.Errorf("logged %q, want %q", logged, test.logged)
			}
		})
	}
}
