package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// errSnapshotListDenied ends a call in which the service has not confirmed the snapshot's endpoint list.
var errSnapshotListDenied = errors.New(
	"discovery has not confirmed the snapshot's endpoint list: requesting a complete list")

// History is what the router knows of the watch before its first call of the service.
type History struct {
	Position     int64 // position of the last event known before the first call; 0: none is known
	lists        startup.ListFilter
	hasList      bool          // whether the events known before the first call include an endpoint list
	snapshotList *snapshotList // list that the service has to confirm; nil: none
}

// snapshotList is an endpoint list from a snapshot. The router uses it only after the service has confirmed it.
type snapshotList struct {
	confirmation restore.ListConfirmation
	list         router.EndpointListUpdated
}

// AddSnapshotList adds the endpoint list of a snapshot. position and digest are those of the last event that the list
// includes. It returns false and ignores the list if it is empty or without a position, or if the configuration
// contains a list, which takes precedence.
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

// ParseHistory decodes the value of the configuration's key "known": watch events that the router is to know before it
// calls the service. It returns the history up to the last of them, and the events in order. An empty value or null
// yields an empty history.
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

// checkSnapshotList compares the first event of a call with the last event that the snapshot's list includes. done
// means that the event needs no further processing.
func (w *Watcher) checkSnapshotList(decoded watchEvent, digest uint64) (done bool, err error) {
	switch w.snapshotList.confirmation.ObserveEvent(decoded.position, digest) {
	case restore.Confirmed:
		w.useSnapshotList(decoded.position, digest)
		return true, nil
	case restore.Outdated:
		w.dropSnapshotList()
		if !decoded.list.Complete { // a complete list is used in place of the snapshot's
			return true, fmt.Errorf("event %d: %w", decoded.position, errSnapshotListDenied)
		}
	}
	return false, nil
}

// processComment returns an error if a comment arrives before any event while the snapshot's list is unconfirmed. The
// service then has no event after the requested position, and so does not confirm the list.
func (w *Watcher) processComment() error {
	if w.snapshotList == nil || w.snapshotList.confirmation.ObserveComment() != restore.Outdated {
		return nil
	}
	w.dropSnapshotList()
	return fmt.Errorf("comment before any event: %w", errSnapshotListDenied)
}

// dropSnapshotList discards the snapshot's list, so that the next call requests all events.
func (w *Watcher) dropSnapshotList() {
	w.snapshotList = nil
	w.position = 0
}

// useSnapshotList posts the snapshot's list, which the service has confirmed, and lets the watch resume after
// position.
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
