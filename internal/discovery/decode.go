package discovery

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"tealpath/control"
	"tealpath/internal/clock"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"

	"github.com/cespare/xxhash/v2"
)

// FieldError reports an unusable field of a watch event.
type FieldError struct {
	Field  string // path of the field in the event's JSON
	Value  string // JSON type of a value that has the wrong type; empty for an empty value
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %q %s", e.Field, e.Value, e.Reason)
}

// phases maps the lifecycle of an instance, as it is written in a watch event, to the phase of its endpoint.
var phases = map[string]string{
	"active":  control.PhaseReady,
	"leaving": control.PhaseDraining,
	"left":    control.PhaseGone,
}

// firstPosition is the position of the first event of a service. An endpoint list at this position is always complete.
const firstPosition = 1

// defaultCapacity is the capacity of an endpoint whose instance has no weight in the watch event.
const defaultCapacity = 1

// watchEvent is the content of one watch event, converted to an event for the reducer.
type watchEvent struct {
	position int64
	event    router.Event        // event for the reducer; nil: of an unknown type, ignored
	list     startup.ListSummary // if event is an endpoint list: its summary; otherwise only Position is set
}

// wireEvent is the JSON form of a watch event. Hosts is nil unless it concerns the endpoint list, Expire unless it is
// a purge.
type wireEvent struct {
	Position int64          `json:"pos"`
	Hosts    *wireInstances `json:"hosts"`
	Expire   *wirePurge     `json:"expire"`
}

// wireInstances is the JSON form of an endpoint list, or of a change to the list in use.
type wireInstances struct {
	Generation int64          `json:"generation"`
	Reset      bool           `json:"reset"` // true: the complete list; false: a change to the list in use
	Instances  []wireInstance `json:"instances"`
}

type wireInstance struct {
	ID          string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	MachineType string   `json:"machineType"`
	Lifecycle   string   `json:"lifecycle"`
	Cell        int64    `json:"cell"`
	Weight      *float64 `json:"weight"`
	StartedAtMS int64    `json:"startedAtMs"` // start of the instance, Unix ms
}

// wirePurge is the JSON form of a purge of one object or of a group of objects.
type wirePurge struct {
	Object string    `json:"name"`
	Group  *int64    `json:"set"`
	Stamp  purgeTime `json:"stamp"`
}

// purgeTime is the time of a purge, Unix ms. A value that is not a 64-bit integer is decoded as 0, for which the
// router uses the time of arrival. If it were reported as an error, the event would be skipped after some retries, and
// its purge would be lost.
type purgeTime int64

// UnmarshalJSON implements json.Unmarshaler.
func (t *purgeTime) UnmarshalJSON(raw []byte) error {
	ms, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		ms = 0
	}
	*t = purgeTime(ms)
	return nil
}

// decodeEvent decodes the JSON of one watch event. If a field is unusable, it returns a FieldError, and the returned
// event still has its position if that could be decoded.
func decodeEvent(raw []byte) (watchEvent, error) {
	var wire wireEvent
	if err := json.Unmarshal(raw, &wire); err != nil {
		return watchEvent{}, fieldError(err)
	}
	decoded := watchEvent{
		position: wire.Position,
		list:     startup.ListSummary{Position: wire.Position},
	}
	switch {
	case wire.Hosts != nil:
		update, err := wire.Hosts.decode(wire.Position)
		if err != nil {
			return decoded, err
		}
		decoded.event = update
		decoded.list = summarize(update, wire)
	case wire.Expire != nil:
		purge, err := wire.Expire.decode()
		if err != nil {
			return decoded, err
		}
		decoded.event = purge
	}
	return decoded, nil
}

// fieldError returns a FieldError if err is a JSON type mismatch, and err itself otherwise.
func fieldError(err error) error {
	if mismatch, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		field := cmp.Or(mismatch.Field, "(whole event)")
		reason := fmt.Sprintf("cannot be decoded as a Go %s", mismatch.Type.Kind())
		return &FieldError{Field: field, Value: "JSON " + mismatch.Value, Reason: reason}
	}
	return err
}

func (h *wireInstances) decode(position int64) (router.EndpointListUpdated, error) {
	update := router.EndpointListUpdated{Complete: h.Reset || position == firstPosition}
	if len(h.Instances) > 0 {
		update.Entries = make([]router.EndpointEntry, 0, len(h.Instances))
	}
	for n, instance := range h.Instances {
		if instance.ID == "" {
			field := fmt.Sprintf("hosts.instances[%d].instanceId", n)
			return router.EndpointListUpdated{}, &FieldError{Field: field, Reason: "must not be empty"}
		}
		update.Entries = append(update.Entries, instance.decode())
	}
	return update, nil
}

// decode returns the endpoint entry of an instance. An instance with an unknown lifecycle is treated as draining, so
// that no new requests are sent to it.
func (i *wireInstance) decode() router.EndpointEntry {
	phase, known := phases[i.Lifecycle]
	if !known {
		phase = control.PhaseDraining
	}
	capacity := float64(defaultCapacity)
	if i.Weight != nil {
		capacity = *i.Weight
	}
	return router.EndpointEntry{
		Instance: i.ID,
		Address:  i.HostPort,
		Endpoint: control.Endpoint{
			Location:  i.Zone,
			Kind:      i.MachineType,
			Cell:      i.Cell,
			Phase:     phase,
			Capacity:  capacity,
			StartedAt: clock.FromUnixMilli(i.StartedAtMS),
		},
	}
}

func (p *wirePurge) decode() (router.PurgeReceived, error) {
	purge := router.PurgeReceived{Object: p.Object, PurgedAt: clock.FromUnixMilli(int64(p.Stamp))}
	switch {
	case p.Group != nil:
		purge.Group = *p.Group
	case p.Object == "":
		return router.PurgeReceived{}, &FieldError{Field: "expire.name", Reason: "must not be empty without expire.set"}
	}
	return purge, nil
}

// summarize returns the summary by which a startup.ListFilter evaluates the list.
func summarize(update router.EndpointListUpdated, wire wireEvent) startup.ListSummary {
	return startup.ListSummary{
		Position:       wire.Position,
		Generation:     wire.Hosts.Generation,
		Complete:       update.Complete,
		Endpoints:      len(update.Entries),
		ReadyEndpoints: countReady(update.Entries),
		Digest:         listDigest(update.Entries),
	}
}

func countReady(entries []router.EndpointEntry) (ready int) {
	for _, entry := range entries {
		if entry.Phase == control.PhaseReady {
			ready++
		}
	}
	return ready
}

// listDigest returns a hash of all fields of all entries. Lists with different hashes are not equal.
func listDigest(entries []router.EndpointEntry) uint64 {
	hash := xxhash.New()
	var encoded []byte
	for _, entry := range entries {
		encoded = encoded[:0]
		for _, text := range []string{entry.Instance, entry.Address, entry.Location, entry.Kind, entry.Phase} {
			encoded = binary.AppendUvarint(encoded, uint64(len(text)))
			encoded = append(encoded, text...)
		}
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(entry.Cell))
		encoded = binary.BigEndian.AppendUint64(encoded, math.Float64bits(entry.Capacity))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(entry.StartedAt))
		_, _ = hash.Write(encoded) // writing to a hash never fails
	}
	return hash.Sum64()
}
