package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const readBufferSize = 1 << 20 // bytes

// The lines that delimit batches and endpoint lists.
const (
	lineBatch = "MARK"
	lineEnd   = "FLUSH"
	lineList  = "FLEET"
	lineItem  = "ITEM"
)

// layout is the form of one kind of line.
type layout struct {
	fields   int
	freeText bool // the last field runs to the end of the line, spaces included
}

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

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	batch string // number of the last batch seen, for errors
}

// NewReader returns a reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize), batch: absent}
}

func (r *Reader) lineError(line, reason string) error {
	return &LineError{Batch: r.batch, Line: line, Reason: reason}
}

// readLine reads one line and splits it by the layout of its kind.
func (r *Reader) readLine() (Event, error) {
	text, err := r.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && text != "" {
			return Event{}, r.lineError(text, "line without an end")
		}
		return Event{}, err
	}
	text = strings.TrimSuffix(text, "\n")
	name, rest, hasFields := strings.Cut(text, " ")
	form, known := layouts[name]
	if !known {
		return Event{}, r.lineError(text, "unknown line")
	}
	var fields []string
	switch {
	case !hasFields:
	case form.freeText:
		fields = strings.SplitN(rest, " ", form.fields)
	default:
		fields = strings.Split(rest, " ")
	}
	if len(fields) != form.fields {
		return Event{}, r.lineError(text, fmt.Sprintf("%s has %d values, not %d", name, len(fields), form.fields))
	}
	return Event{Name: name, Fields: fields, Line: text}, nil
}

// Read returns the next batch. The error is io.EOF if the input ends between two batches, and else a
// *LineError.
func (r *Reader) Read() (*Batch, error) {
	batch, err := r.readHead()
	if err != nil {
		return nil, err
	}
	items := 0 // lines of an endpoint list that are still to come
	for {
		event, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, r.lineError("", "input ended inside a batch")
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
			return nil, r.lineError(event.Line, "line out of place")
		case event.Name == lineEnd:
			return batch, nil
		case event.Name == lineList:
			count, err := event.Int(3)
			if err != nil || count < 0 {
				return nil, r.lineError(event.Line, "bad number of entries")
			}
			items = int(count)
		}
		batch.Events = append(batch.Events, event)
	}
}

// readHead reads the first line of a batch.
func (r *Reader) readHead() (*Batch, error) {
	first, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if first.Name != lineBatch {
		return nil, r.lineError(first.Line, "a batch starts with MARK")
	}
	r.batch = first.Fields[1]
	now, err := first.Time(0)
	if err != nil {
		return nil, r.lineError(first.Line, err.Error())
	}
	return &Batch{Now: now, Number: first.Fields[1]}, nil
}
