package discovery

import (
	"fmt"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/router"
	"tealpath/internal/testkit"

	"github.com/cespare/xxhash/v2"
)

func TestParseHistory(t *testing.T) {
	for _, test := range []struct {
		name, in string
		position int64
		events   int // number of events that ParseHistory returns; -1: it must fail
	}{
		{"empty", "", 0, 0},
		{"null", "null", 0, 0},
		{
			"a list and a purge",
			`{"pos":2,"entries":[` + listJSON(1, true, "active") + `,{"pos":2,"expire":{"set":3,"stamp":1}}]}`,
			2,
			2,
		},
		{"an invalid purge", `{"pos":2,"entries":[{"pos":2,"expire":{}}]}`, 0, -1},
		{"an array instead of an object", `[]`, 0, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			history, events, err := ParseHistory([]byte(test.in))
			if (err != nil) != (test.events < 0) {
				t.Fatalf("position %d, events %v, error %v, want an error: %t", history.Position, events, err, test.events < 0)
			}
			if history.Position != test.position || err == nil && len(events) != test.events {
				t.Errorf("position %d, events %v, want position %d, %d events",
					history.Position, events, test.position, test.events)
			}
		})
	}
}

func TestConfiguredListTakesPrecedenceOverSnapshot(t *testing.T) {
	history, _, err := ParseHistory([]byte(`{"pos":1,"entries":[` + listJSON(1, true, "active") + `]}`))
	if err != nil || history.AddSnapshotList(5, 1, snapshotEndpoints()) {
		t.Errorf("the snapshot's list is used despite the configured one, or ParseHistory failed with %v", err)
	}
}

func snapshotEndpoints() []router.EndpointEntry {
	return []router.EndpointEntry{{Instance: "s-1", Address: "10.1.0.9:1", Endpoint: control.Endpoint{Phase: "ready"}}}
}

// If the service sends the last event of a snapshot's list again, byte for byte, the watcher must use the list without
// requesting a complete one. If it sends anything else at that position, or only comments, the list must not be used.
func TestSnapshotListNeedsConfirmation(t *testing.T) {
	const (
		purge     = `{"pos":%d,"expire":{"set":3,"stamp":1}}`
		confirmed = "{true [{s-1 10.1.0.9:1 {0   0 ready 0 0}}]}"
		denied    = "{true [{s-00c41f7a"
	)
	list := strings.Replace(listJSON(1, true, "active"), `"pos":1`, `"pos":%d`, 1)
	digest := xxhash.Sum64String(fmt.Sprintf(purge, 2))
	for _, test := range []struct {
		name        string
		change      func(*discoveryserver.Service)
		digest      uint64
		first       string // prefix of the text of the first event that the watcher posts
		calls       int
		resumeAfter int // Last-Event-ID of the watcher's last call
	}{
		{"the same service", func(*discoveryserver.Service) {}, digest, confirmed, 1, 1},
		{"the service has sent more since", func(s *discoveryserver.Service) { s.Publish(purge) }, digest, confirmed, 1, 1},
		{"another event at that position", func(*discoveryserver.Service) {}, digest + 1, denied, 2, 0},
		{"the service has restarted", func(s *discoveryserver.Service) { s.Reset(); s.Publish(list) }, digest, denied, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, err := discoveryserver.Start()
			if err != nil {
				t.Fatal(err)
			}
			defer service.Close()
			service.Publish(list)
			service.Publish(purge)
			test.change(service)
			var history History
			if !history.AddSnapshotList(2, test.digest, snapshotEndpoints()) {
				t.Fatal("precondition: AddSnapshotList returned false")
			}
			watcher := newTestWatcher(service.Address(), history, nil)
			watcher.start(t)
			got := fmt.Sprint(testkit.Receive(t, watcher.events, waitLimit, "an event"))
			if !strings.HasPrefix(got, test.first) {
				t.Errorf("first event %s, want prefix %s", got, test.first)
			}
			calls := service.Calls()
			if len(calls) != test.calls || calls[len(calls)-1].LastEventID != test.resumeAfter {
				t.Errorf("calls %+v, want %d, the last with Last-Event-ID %d", calls, test.calls, test.resumeAfter)
			}
			names := watcher.loggedNames()
			if strings.Contains(names, "snapshot_list_confirmed") != (test.first == confirmed) {
				t.Errorf("logged %s, want snapshot_list_confirmed: %t", names, test.first == confirmed)
			}
		})
	}
}
