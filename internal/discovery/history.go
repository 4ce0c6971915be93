package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// errListDenied ends a call by which the service does not confirm the snapshot's endpoint list.
var errListDenied = errors.New("the endpoint list of the snapshot is not confirmed: the whole list is requested")

// History is what was known of the service's events before the first call.
type History struct {
	Position     int64 // of the last event
	lists        startup.ListFilter
	hasList      bool          // an endpoint list was among the events
	snapshotList *snapshotList // nil: there is none
}

// snapshotList is an endpoint list from a snapshot. It is not in force until the service confirms it.
type snapshotList struct {
	confirmation restore.ListConfirmation
	list         router.EndpointListUpdated
}

// AddSnapshotList adds the endpoint list of a snapshot, with position and digest of the last event that it
// contains. It reports whether the list is used: a list of the configuration takes precedence.
func (h *History) AddSnapshotList(position int64, digest uint64, endpoints []router.EndpointEntry) bool {
	if h.hasList || position < 1 || len(endpoints) == 0 {
		return false
	}
	h.snapshotList = &snapshotList{
		confirmation: restore.ListConfirmation{Position: position, Digest: digest},
		list:         router.EndpointListUpdated{Complete: true, Entries: endpoints},
	}
	return true
}

// ParseHistory decodes the events that a configuration contains. It returns them in order, and how far they go.
func ParseHistory(raw []byte) (History, []router.Event, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return History{}, nil, nil
	}
	var known struct {
		Position int64             `json:"pos"`
		Entries  []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return History{}, nil, fmt.Errorf("known: %w", err)
	}
	history := History{Position: known.Position}
	var events []router.Event
	for n, entry := range known.Entries {
		decoded, err := decodeEvent(entry)
		if err != nil {
			return History{}, nil, fmt.Errorf("known: entry %d: %w", n+1, err)
		}
		if decoded.list.Endpoints > 0 {
			history.lists.Evaluate(0, decoded.list)
			history.hasList = true
		}
		if decoded.event != nil {
			events = append(events, decoded.event)
		}
	}
	history.lists.Advance(known.Position)
	return history, events, nil
}

// checkSnapshotList compares the first event with the one that the snapshot's list ended with. It reports
// whether that is all there is to do for the event.
func (w *Watcher) checkSnapshotList(decoded watchEvent, digest uint64) (done bool, err error) {
	switch w.snapshotList.confirmation.ObserveEvent(decoded.position, digest) {
	case restore.Confirmed:
		w.useSnapshotList(decoded.position, digest)
		return true, nil
	case restore.Denied:
		w.dropSnapshotList()
		if !decoded.list.Complete { // a complete list replaces the snapshot's
			return true, errListDenied
		}
	}
	return false, nil
}

// processComment takes a comment. One that comes before any event denies the snapshot's list: the service has
// no event after the position that was named.
func (w *Watcher) processComment() error {
	if w.snapshotList == nil || w.snapshotList.confirmation.ObserveComment() != restore.Denied {
		return nil
	}
	w.dropSnapshotList()
	return errListDenied
}

// dropSnapshotList drops the snapshot's list. The next call requests all events.
func (w *Watcher) dropSnapshotList() {
	w.snapshotList = nil
	w.position = 0
}

// useSnapshotList puts the snapshot's list in force after the service has confirmed it.
func (w *Watcher) useSnapshotList(position int64, digest uint64) {
	w.log(SnapshotListConfirmed{Position: position})
	list := w.snapshotList.list
	w.lists.Evaluate(w.clock.Now(), startup.ListSummary{
		Position:       position,
		Complete:       true,
		Endpoints:      len(list.Entries),
		ReadyEndpoints: countReady(list.Entries),
	})
	w.schedule.ListReceived()
	w.post(list)
	w.post(EventProcessed{Position: position, Digest: digest})
	w.snapshotList = nil
	w.position = position
}
