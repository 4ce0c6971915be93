package discovery

import (
	"errors"
	"fmt"
	"strconv"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/protocol/sse"

	"github.com/cespare/xxhash/v2"
)

// maxUnusable is how often an event is requested again that cannot be used, before it is skipped.
const maxUnusable = 3

var (
	// errListUnconfirmed is an endpoint list that is requested a second time before it is in force.
	errListUnconfirmed = errors.New("unconfirmed endpoint list")
	errEventsMissing   = errors.New("events before it are missing")
)

// processEvent posts what an event says, if it is the next one. An error ends the call, and the next call
// requests the event again. One that stays unusable is skipped in the end, since those after it count more.
func (w *Watcher) processEvent(event sse.Event) error {
	decoded, decodeErr := decodeEvent(event.Data)
	digest := xxhash.Sum64(event.Data)
	if w.snapshotList != nil {
		if done, err := w.checkSnapshotList(decoded, digest); done {
			return err
		}
	}
	position := decoded.position
	if decodeErr != nil || position == 0 {
		position = positionByID(event.ID, position)
	}
	if decoded.list.Complete {
		if accepted, err := w.evaluateList(position, decoded.list); !accepted {
			return err
		}
	}
	if position > 0 && position <= w.position {
		return nil // a repetition
	}
	if err := w.checkUsable(position, decodeErr); err != nil {
		return err
	}
	w.advance(position)
	if decodeErr != nil {
		w.log(WatchEventSkipped{Position: position, Cause: decodeErr})
		return nil
	}
	w.postEvent(decoded, digest)
	return nil
}

// positionByID returns the position that the stream names for an event, or the one it has otherwise.
func positionByID(id string, otherwise int64) int64 {
	if position, err := strconv.ParseInt(id, 10, 64); err == nil {
		return position
	}
	return otherwise
}

// evaluateList reports whether a complete endpoint list is accepted. If it is, the events go on from its
// position.
func (w *Watcher) evaluateList(position int64, list startup.ListSummary) (bool, error) {
	switch w.lists.Evaluate(w.clock.Now(), list) {
	case startup.Unconfirmed:
		w.log(EndpointListUnconfirmed{Endpoints: list.Endpoints, ReadyEndpoints: list.ReadyEndpoints})
		return false, fmt.Errorf("event %d: %w of %d endpoints", position, errListUnconfirmed, list.Endpoints)
	case startup.Stale:
		return false, nil
	}
	if position <= w.position {
		w.log(Renumbered{Position: position, PreviousPosition: w.position})
	}
	w.position = position - 1
	return true, nil
}

// checkUsable returns an error for an event that cannot be decoded or is not the next one, as long as it is
// worth another request.
func (w *Watcher) checkUsable(position int64, decodeErr error) error {
	isNext := decodeErr == nil && position == w.position+1
	if isNext || w.unusable >= maxUnusable {
		return nil
	}
	w.unusable++
	if decodeErr == nil {
		return fmt.Errorf("event %d: %w", position, errEventsMissing)
	}
	return fmt.Errorf("event %d: %w", position, decodeErr)
}

// advance notes that the events up to a position have been processed or skipped.
func (w *Watcher) advance(position int64) {
	w.unusable = 0
	if next := w.position + 1; position > next {
		w.log(WatchEventsMissing{First: next, Last: position - 1})
	}
	w.position = max(w.position, position)
	w.lists.Advance(w.position)
}

func (w *Watcher) postEvent(decoded watchEvent, digest uint64) {
	if decoded.event != nil {
		if decoded.list.Endpoints > 0 {
			w.schedule.ListReceived()
		}
		w.post(decoded.event)
	}
	w.post(EventProcessed{Position: w.position, Digest: digest})
}
