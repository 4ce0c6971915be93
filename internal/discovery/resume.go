package discovery

import (
	"errors"
	"fmt"
	"strconv"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/protocol/sse"

	"github.com/cespare/xxhash/v2"
)

// maxEventRetries is how often unusable or missing events are requested again before the watch continues without them.
const maxEventRetries = 3

var (
	// errListUnconfirmed is returned for an endpoint list that is used only if the service sends it a second time.
	errListUnconfirmed = errors.New("unconfirmed endpoint list")

	// errUnexpectedPosition is returned for a watch event whose position is not that of the last processed event plus
	// 1.
	errUnexpectedPosition = errors.New("unexpected position")
)

// processEvent decodes an event and posts it, unless it was processed before. If the event cannot be decoded or an
// earlier event is missing, it returns an error: the call ends, and the next call requests the events again. After
// maxEventRetries such requests the watch continues without the unusable or missing events, because those after them
// are more important.
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
		position = positionFromID(event.ID, position)
	}
	if decoded.list.Complete {
		if accepted, err := w.evaluateList(position, decoded.list); !accepted {
			return err
		}
	}
	if position > 0 && position <= w.position {
		return nil // the event was processed before
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

// positionFromID parses the ID of a server-sent event, which is the position of its watch event. It returns fallback
// if the ID is not a number.
func positionFromID(id string, fallback int64) int64 {
	if position, err := strconv.ParseInt(id, 10, 64); err == nil {
		return position
	}
	return fallback
}

// evaluateList reports whether a complete endpoint list is to be used. If so, it sets w.position to position-1, so
// that the list counts as the next event whatever the last processed position was. It returns an error for a list that
// the service has to send again.
func (w *Watcher) evaluateList(position int64, list startup.ListSummary) (bool, error) {
	switch w.lists.Evaluate(w.clock.Now(), list) {
	case startup.Unconfirmed:
		w.log(EndpointListUnconfirmed{Endpoints: list.Endpoints, ReadyEndpoints: list.ReadyEndpoints})
		return false, fmt.Errorf("event %d: %w: %d endpoints, %d of them ready",
			position, errListUnconfirmed, list.Endpoints, list.ReadyEndpoints)
	case startup.Stale:
		return false, nil
	}
	if position <= w.position {
		w.log(Renumbered{Position: position, PreviousPosition: w.position})
	}
	w.position = position - 1
	return true, nil
}

// checkUsable returns an error for an event that cannot be decoded or does not follow the last processed one. Once
// maxEventRetries calls have ended with such an error, it returns nil, so that the watch continues.
func (w *Watcher) checkUsable(position int64, decodeErr error) error {
	isNext := decodeErr == nil && position == w.position+1
	if isNext || w.eventRetries >= maxEventRetries {
		return nil
	}
	w.eventRetries++
	if decodeErr == nil {
		return fmt.Errorf("event %d: %w, want %d", position, errUnexpectedPosition, w.position+1)
	}
	return fmt.Errorf("event %d: %w", position, decodeErr)
}

// advance records that all events up to position have been processed or skipped.
func (w *Watcher) advance(position int64) {
	w.eventRetries = 0
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
