package simulator

import (
	"errors"
	"strconv"

	"tealpath/control"
	"tealpath/internal/simulator/wire"
)

var (
	errSeed     = errors.New("bad seed")
	errEndpoint = errors.New("bad member id")
	errOutcome  = errors.New("unknown outcome")
)

const (
	// listChanges marks an endpoint list that has only what changed.
	listChanges = "delta"
	// listFailed marks a subscription that failed.
	listFailed = "failed"

	// purgesGroup in place of an object means that a whole group is purged.
	purgesGroup = "0"

	// probeSucceeded is the result of a health check that was answered.
	probeSucceeded = "GOOD"
)

// The wire's flags of a request.
const (
	flagClientRetry = 2
	flagWrite       = 4
)

// results has the result that each word of the wire for an attempt's end stands for.
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

// decodeEndpoint decodes one line of an endpoint list.
func decodeEndpoint(line wire.Event) (control.Endpoint, error) {
	id, err := decodeEndpointID(line.Fields[0])
	if err != nil {
		return control.Endpoint{}, err
	}
	cell, cellErr := line.Int(3)
	capacity, capacityErr := line.Float(5)
	startedAt, startedErr := line.Time(6)
	return control.Endpoint{
		ID:        id,
		Location:  line.Fields[1],
		Kind:      line.Fields[2],
		Cell:      cell,
		Phase:     line.Fields[4],
		Capacity:  capacity,
		StartedAt: startedAt,
	}, errors.Join(cellErr, capacityErr, startedErr)
}

func decodeEndpointID(field string) (uint32, error) {
	id, err := strconv.ParseUint(field, 10, 32)
	if err != nil {
		return 0, errEndpoint
	}
	return uint32(id), nil
}

// decodeRequest decodes a request that came.
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

// decodeOutcome decodes how an attempt ended.
func decodeOutcome(event wire.Event) (control.Outcome, error) {
	result, known := results[event.Fields[4]]
	if !known {
		return control.Outcome{}, errOutcome
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

// purge is a purge of one object, or of a group where it names none.
type purge struct {
	object string
	group  int64
	age    int64 // since it took place, ns
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
	if object == purgesGroup {
		object = ""
	}
	return purge{object: object, group: group, age: age}, nil
}
