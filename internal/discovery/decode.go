package discovery

import (
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

// FieldError is a field of a watch event that cannot be used.
type FieldError struct {
	Field  string // its path in the event, in the words of the wire
	Value  string // what it contains, or the JSON type of that
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %q %s", e.Field, e.Value, e.Reason)
}

// phases maps the lifecycle of an instance, as the wire names it, to the phase of its endpoint.
var phases = map[string]string{
	"active":  control.PhaseReady,
	"leaving": control.PhaseDraining,
	"left":    control.PhaseGone,
}

// firstPosition is the position of a service's first event; an endpoint list at it is complete in any case.
const firstPosition = 1

// defaultCapacity is the capacity of an instance whose weight the service does not say.
const defaultCapacity = 1

// watchEvent is one decoded event of the watch.
type watchEvent struct {
	position int64
	event    router.Event        // nil: the event says nothing to a router
	list     startup.ListSummary // of an endpoint list; else only its position is set
}

// wireEvent is an event as the service sends it, in JSON.
type wireEvent struct {
	Position int64          `json:"pos"`
	Hosts    *wireInstances `json:"hosts"`
	Expire   *wirePurge     `json:"expire"`
}

// wireInstances is an endpoint list or a change to it.
type wireInstances struct {
	Generation int64          `json:"generation"`
	Reset      bool           `json:"reset"` // it is complete
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
	StartedAtMS int64    `json:"startedAtMs"` // Unix ms
}

// wirePurge is a purge of one object or of a group of them.
type wirePurge struct {
	Object string    `json:"name"`
	Group  *int64    `json:"set"`
	Stamp  purgeTime `json:"stamp"`
}

// purgeTime is the time of a purge, Unix ms. What is no whole number is read as 0, which means that the purge
// counts from its arrival. As an error it would have the event skipped in the end, and the purge with it.
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

// decodeEvent decodes one event. With a FieldError the position is set if it could be read.
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

// fieldError names the field, if JSON has a value of another type in it.
func fieldError(err error) error {
	if mismatch, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return &FieldError{Field: mismatch.Field, Value: mismatch.Value, Reason: "is not of its type"}
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
			return router.EndpointListUpdated{}, &FieldError{Field: field, Reason: "names no instance"}
		}
		update.Entries = append(update.Entries, instance.decode())
	}
	return update, nil
}

// decode returns the entry of an instance. One whose lifecycle is not known drains, so that nothing new is
// sent to it.
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
		return router.PurgeReceived{}, &FieldError{Field: "expire.name", Reason: "names nothing, and there is no set"}
	}
	return purge, nil
}

// summarize returns what a list says of itself.
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

// listDigest returns a digest that differs between lists that differ in anything.
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
		_, _ = hash.Write(encoded) // a hash takes everything: it returns no error
	}
	return hash.Sum64()
}
