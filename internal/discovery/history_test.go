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
		events   int // -1: an error
	}{
		{"none", "", 0, 0},
		{"null", "null", 0, 0},
		{
			"two",
			`{"pos":2,"entries":[` + listEvent(1, true, "active") + `,{"pos":2,"expire":{"set":3,"stamp":1}}]}`,
			2,
			2,
		},
		{"a broken one", `{"pos":2,"entries":[{"pos":2,"expire":{}}]}`, 0, -1},
		{"of another form", `[]`, 0, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			history, events, err := ParseHistory([]byte(test.in))
			if (err != nil) != (test.events < 0) {
				t.Fatalf("%d, %v, %v", history.Position, events, err)
			}
			if history.Position != test.position || err == nil && len(events) != test.events {
				t.Errorf("%d, %v", history.Position, events)
			}
		})
	}
}

func TestConfiguredListTakesPrecedenceOverTheSnapshots(t *testing.T) {
	history, _, err := ParseHistory([]byte(`{"pos":1,"entries":[` + listEvent(1, true, "active") + `]}`))
	if err != nil || history.AddSnapshotList(5, 1, snapshotEndpoints()) {
		t.Errorf("the snapshot's list is used: %v", err)
	}
}

func snapshotEndpoints() []router.EndpointEntry {
	return []router.EndpointEntry{{Instance: "s-1", Address: "10.1.0.9:1", Endpoint: control.Endpoint{Phase: "ready"}}}
}

// A snapshot's list is in force once the service sends again, to the letter, the event that the list ended
// with, without the complete list being requested; and never where the service sends anything else there, or
// nothing.
func TestSnapshotListNeedsTheServicesConfirmation(t *testing.T) {
	const (
		purge     = `{"pos":%d,"expire":{"set":3,"stamp":1}}`
		confirmed = "{true [{s-1 10.1.0.9:1 {0   0 ready 0 0}}]}"
		denied    = "{true [{s-00c41f7a"
	)
	list := strings.Replace(listEvent(1, true, "active"), `"pos":1`, `"pos":%d`, 1)
	digest := xxhash.Sum64String(fmt.Sprintf(purge, 2))
	for _, test := range []struct {
		name        string
		change      func(*discoveryserver.Service)
		digest      uint64
		first       string // the first event that is posted begins so
		calls       int
		resumeAfter int // in the last call
	}{
		{"the same service", func(*discoveryserver.Service) {}, digest, confirmed, 1, 1},
		{"it has sent more since", func(s *discoveryserver.Service) { s.Publish(purge) }, digest, confirmed, 1, 1},
		{"another event at that position", func(*discoveryserver.Service) {}, digest + 1, denied, 2, 0},
		{"it has restarted", func(s *discoveryserver.Service) { s.Reset(); s.Publish(list) }, digest, denied, 2, 0},
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
				t.Fatal("the snapshot's list is not used")
			}
			watcher := newTestWatcher(service.Address(), history, nil)
			watcher.start(t)
			if got := fmt.Sprint(testkit.Receive(t, watcher.events, waitLimit, "an event")); !strings.HasPrefix(got, test.first) {
				t.Errorf("%s is posted first, want %s", got, test.first)
			}
			calls := service.Calls()
			if len(calls) != test.calls || calls[len(calls)-1].LastEventID != test.resumeAfter {
				t.Errorf("%+v", calls)
			}
			names := watcher.loggedNames()
			if strings.Contains(names, "snapshot_list_confirmed") != (test.first == confirmed) {
				t.Errorf("logged %s", names)
			}
		})
	}
}
