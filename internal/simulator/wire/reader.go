package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const readBufferSize = 1 << 20 // bytes

// Names of the lines that delimit batches and endpoint lists.
const (
	lineBatch = "MARK"
	lineEnd   = "FLUSH"
	lineList  = "FLEET"
	lineItem  = "ITEM"
)

// layout describes the values that follow the name in a line. All lines with the same name have the same layout.
type layout struct {
	fields   int
	freeText bool // the last value is the rest of the line and may contain spaces
}

// layouts maps the names of all input lines to their layouts.
var layouts = map[string]layout{
	"START":       {fields: 3, freeText: true},
	"SUBMIT":      {fields: 10},
	"ECHO":        {fields: 5},
	"TICK_DUE":    {fields: 2},
	"GONE":        {fields: 2},
	"RECALLED":    {fields: 4},
	"ENDED":       {fields: 10},
	"MEMO":        {fields: 3},
	"ESTABLISHED": {fields: 5},
	"EXIT":        {fields: 1},
	lineList:      {fields: 4},
	lineItem:      {fields: 7},
	lineBatch:     {fields: 2},
	lineEnd:       {fields: 0},
}

// Reader reads batches of events.
type Reader struct {
	in    *bufio.Reader
	batch string // number of the last batch started, for errors
}

// NewReader returns a Reader of the batches that the simulator sends, which are read from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize), batch: absent}
}

func (r *Reader) lineError(line, reason string) error {
	return &LineError{Batch: r.batch, Line: line, Reason: reason}
}

// readLine reads one line and splits it into its name and values. The error is io.EOF if the input ends before the
// line.
func (r *Reader) readLine() (Event, error) {
	text, err := r.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && text != "" {
			return Event{}, r.lineError(text, "input ended within a line")
		}
		return Event{}, err
	}
	text = strings.TrimSuffix(text, "\n")
	name, rest, hasFields := strings.Cut(text, " ")
	expected, known := layouts[name]
	if !known {
		return Event{}, r.lineError(text, fmt.Sprintf("unknown line name %q", name))
	}
	var fields []string
	switch {
	case !hasFields:
	case expected.freeText:
		fields = strings.SplitN(rest, " ", expected.fields)
	default:
		fields = strings.Split(rest, " ")
	}
	if len(fields) != expected.fields {
		reason := fmt.Sprintf("%s has %d values, want %d", name, len(fields), expected.fields)
		return Event{}, r.lineError(text, reason)
	}
	return Event{Name: name, Fields: fields, Line: text}, nil
}

// Read returns the next batch. The error is io.EOF if the input ends between two batches, a *LineError if a line
// violates the protocol, or the error of the underlying reader.
func (r *Reader) Read() (*Batch, error) {
	batch, err := r.readHead()
	if err != nil {
		return nil, err
	}
	items := 0 // number of ITEM lines of the current endpoint list that have not been read yet
	for {
		event, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, r.lineError("", "input ended before "+lineEnd)
		}
		if err != nil {
			return nil, err
		}
		isItem := event.Name == lineItem
		switch {
		case isItem && items > 0:
			list := &batch.Events[len(batch.Events)-1]
			list.Items = append(list.Items, event)
			items--
			continue
		case isItem || items > 0 || event.Name == lineBatch:
			reason := fmt.Sprintf("unexpected %s with %d ITEM lines outstanding", event.Name, items)
			return nil, r.lineError(event.Line, reason)
		case event.Name == lineEnd:
			return batch, nil
		case event.Name == lineList:
			count, err := event.Int(3)
			if err != nil || count < 0 {
				reason := fmt.Sprintf("number of ITEM lines is %q, want a whole number from 0", event.Fields[3])
				return nil, r.lineError(event.Line, reason)
			}
			items = int(count)
		}
		batch.Events = append(batch.Events, event)
	}
}

// readHead reads the first line of a batch, which contains its time and its number.
func (r *Reader) readHead() (*Batch, error) {
	first, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if first.Name != lineBatch {
		return nil, r.lineError(first.Line, fmt.Sprintf("a batch starts with %s, not with %s", lineBatch, first.Name))
	}
	r.batch = first.Fields[1]
	now, err := first.Time(0)
	if err != nil {
		return nil, r.lineError(first.Line, err.Error())
	}
	return &Batch{Now: now, Number: first.Fields[1]}, nil
}
