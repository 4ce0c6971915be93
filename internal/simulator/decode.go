package simulator

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tealpath/control"
	"tealpath/internal/simulator/wire"
)

var (
	errSeed          = errors.New("not an unsigned 64-bit number")
	errEndpointID    = errors.New("not an unsigned 32-bit number")
	errUnknownResult = errors.New("unknown result of an attempt")
)

const (
	// listDelta marks an endpoint list that contains only the changed endpoints.
	listDelta = "delta"
	// listFailed marks a failed subscription to the endpoint list.
	listFailed = "failed"

	// groupPurge stands in place of the object in the purge of a whole group.
	groupPurge = "0"

	// probeSucceeded is the result of a successful health check.
	probeSucceeded = "GOOD"
)

// Bits of the flags field of a SUBMIT event.
const (
	flagClientRetry = 2
	flagWrite       = 4
)

// results maps the wire's words for the end of an attempt to the results of package control.
var results = map[string]control.Result{
	"GOOD":   control.Succeeded,
	"BAD":    control.ServerError,
	"FULL":   control.Overloaded,
	"LATE":   control.TimedOut,
	"NOCONN": control.Unreachable,
	"RST":    control.ConnectionLost,
	"CXL":    control.Cancelled,
	"NOP":    control.NotSent,
	"MISS":   control.NotCached,
}

// decodeEndpoint decodes one ITEM line of an endpoint list.
func decodeEndpoint(item wire.Event) (control.Endpoint, error) {
	id, err := decodeEndpointID(item.Fields[0])
	if err != nil {
		return control.Endpoint{}, err
	}
	cell, cellErr := item.Int(3)
	capacity, capacityErr := item.Float(5)
	startedAt, startedErr := item.Time(6)
	return control.Endpoint{
		ID:        id,
		Location:  item.Fields[1],
		Kind:      item.Fields[2],
		Cell:      cell,
		Phase:     item.Fields[4],
		Capacity:  capacity,
		StartedAt: startedAt,
	}, errors.Join(cellErr, capacityErr, startedErr)
}

func decodeEndpointID(field string) (uint32, error) {
	id, err := strconv.ParseUint(field, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("endpoint ID %q: %w", field, errEndpointID)
	}
	return uint32(id), nil
}

// decodeRequest decodes a SUBMIT event, which is a new request.
func decodeRequest(event wire.Event) (*request, error) {
	flags, flagsErr := event.Int(2)
	sizeKB, sizeErr := event.Float(4)
	part, partErr := event.Int(5)
	deadline, deadlineErr := event.Time(6)
	group, groupErr := event.Int(7)
	return &request{
		id: event.Fields[1],
		Request: control.Request{
			Class:       event.Fields[9],
			Object:      event.Text(8),
			Group:       group,
			Part:        part,
			SizeKB:      sizeKB,
			Deadline:    deadline,
			ClientRetry: flags&flagClientRetry != 0,
			Write:       flags&flagWrite != 0,
		},
	}, errors.Join(flagsErr, sizeErr, partErr, deadlineErr, groupErr)
}

// decodeOutcome decodes an ENDED event, which is the end of an attempt.
func decodeOutcome(event wire.Event) (control.Outcome, error) {
	result, known := results[event.Fields[4]]
	if !known {
		allowed := strings.Join(slices.Sorted(maps.Keys(results)), ", ")
		return control.Outcome{}, fmt.Errorf("%w %q: must be one of %s", errUnknownResult, event.Fields[4], allowed)
	}
	number, numberErr := event.Int(2)
	elapsed, elapsedErr := event.Time(5)
	requestEnded, endedErr := event.Bool(6)
	note, noteErr := event.Int(7)
	timeToFirstByte, firstByteErr := event.Time(8)
	loadReport, reportErr := event.Floats(9)
	return control.Outcome{
		Attempt:         int(number),
		Result:          result,
		Elapsed:         elapsed,
		RequestEnded:    requestEnded,
		Note:            note,
		TimeToFirstByte: timeToFirstByte,
		LoadReport:      loadReport,
	}, errors.Join(numberErr, elapsedErr, endedErr, noteErr, firstByteErr, reportErr)
}

// purge is a purge of one object or, if object is empty, of a group.
type purge struct {
	object string
	group  int64
	age    int64 // ns since the purge
}

func decodePurge(event wire.Event) (purge, error) {
	group, err := event.Int(2)
	if err != nil {
		return purge{}, err
	}
	age, err := event.Time(3)
	if err != nil {
		return purge{}, err
	}
	object := event.Text(1)
	if object == groupPurge {
		object = ""
	}
	return purge{object: object, group: group, age: age}, nil
}
