// Package wire parses and writes the line-based wire of the operators' bench.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// Batch is all that arrived at one moment of the clock.
type Batch struct {
	Now    int64 // nanoseconds
	Number string
	Events []Event
}

// Event is one line of a batch; a list of members carries its ITEM lines with it.
type Event struct {
	Name   string
	Fields []string
	Items  []Event
	Line   string
}

// layout holds, for each event, its number of fields and whether the last one runs to the end of the line.
var layout = map[string]struct {
	fields int
	text   bool
}{
	"START": {3, true}, "FLEET": {4, false}, "SUBMIT": {10, false}, "ECHO": {5, false}, "TICK_DUE": {2, false},
	"GONE": {2, false}, "RECALLED": {4, false}, "ENDED": {10, false}, "MEMO": {3, false},
	"ESTABLISHED": {5, false}, "EXIT": {1, false}, "ITEM": {7, false}, "MARK": {2, false}, "FLUSH": {0, false},
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	last string // number of the last batch seen, for messages
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20), last: "-"} }

// Fault is a line that the wire does not allow.
type Fault struct{ Batch, Line, Why string }

func (f *Fault) Error() string { return fmt.Sprintf("batch %s: %s: %q", f.Batch, f.Why, f.Line) }

func (r *Reader) fault(line, why string) error { return &Fault{r.last, line, why} }

func (r *Reader) line() (Event, error) {
	text, err := r.in.ReadString('\n')
	if err != nil {
		if err == io.EOF && text != "" {
			return Event{}, r.fault(text, "line without an end")
		}
		return Event{}, err
	}
	text = strings.TrimSuffix(text, "\n")
	name, rest, more := strings.Cut(text, " ")
	shape, known := layout[name]
	if !known {
		return Event{}, r.fault(text, "unknown line")
	}
	var fields []string
	switch {
	case !more:
	case shape.text:
		fields = strings.SplitN(rest, " ", shape.fields)
	default:
		fields = strings.Split(rest, " ")
	}
	if len(fields) != shape.fields {
		return Event{}, r.fault(text, fmt.Sprintf("%s has %d values, not %d", name, len(fields), shape.fields))
	}
	return Event{Name: name, Fields: fields, Line: text}, nil
}

// Read returns the next batch; io.EOF where input ends between two batches.
func (r *Reader) Read() (*Batch, error) {
	first, err := r.line()
	if err != nil {
		return nil, err
	}
	if first.Name != "MARK" {
		return nil, r.fault(first.Line, "a batch starts with MARK")
	}
	r.last = first.Fields[1]
	now, err := first.Time(0)
	if err != nil {
		return nil, r.fault(first.Line, err.Error())
	}
	batch := &Batch{Now: now, Number: first.Fields[1]}
	items := 0
	for {
		event, err := r.line()
		if err == io.EOF {
			return nil, r.fault("", "input ended inside a batch")
		}
		if err != nil {
			return nil, err
		}
		switch {
		case event.Name == "ITEM" && items > 0:
			fleet := &batch.Events[len(batch.Events)-1]
			fleet.Items = append(fleet.Items, event)
			items--
			continue
		case items > 0 || event.Name == "ITEM" || event.Name == "MARK":
			return nil, r.fault(event.Line, "line out of place")
		case event.Name == "FLUSH":
			return batch, nil
		case event.Name == "FLEET":
			n, err := event.Int(3)
			if err != nil || n < 0 {
				return nil, r.fault(event.Line, "bad number of entries")
			}
			items = int(n)
		}
		batch.Events = append(batch.Events, event)
	}
}

// Text is field i, or empty where it is absent.
func (e Event) Text(i int) string {
	if e.Fields[i] == "-" {
		return ""
	}
	return e.Fields[i]
}

// Int is field i as a whole number; an absent one is 0.
func (e Event) Int(i int) (int64, error) {
	if e.Fields[i] == "-" {
		return 0, nil
	}
	n, err := strconv.ParseInt(e.Fields[i], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("value %d is not a whole number", i+1)
	}
	return n, nil
}

// Bool is field i as a switch; an absent one is false.
func (e Event) Bool(i int) (bool, error) {
	switch e.Fields[i] {
	case "1":
		return true, nil
	case "0", "-":
		return false, nil
	}
	return false, fmt.Errorf("value %d is neither 0 nor 1", i+1)
}

// Float is field i as a number; an absent one is 0.
func (e Event) Float(i int) (float64, error) {
	if e.Fields[i] == "-" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(e.Fields[i], 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("value %d is not a number", i+1)
	}
	return f, nil
}

// Floats is field i as a row of numbers; nil where it is absent.
func (e Event) Floats(i int) ([]float64, error) {
	if e.Fields[i] == "-" || e.Fields[i] == "" {
		return nil, nil
	}
	parts := strings.Split(e.Fields[i], ",")
	row := make([]float64, len(parts))
	for k, part := range parts {
		if part == "-" {
			continue
		}
		f, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return nil, fmt.Errorf("value %d is not a row of numbers", i+1)
		}
		row[k] = f
	}
	return row, nil
}

// Time is field i, given in seconds, in nanoseconds.
func (e Event) Time(i int) (int64, error) {
	f, err := e.Float(i)
	return Nanos(f), err
}

// Nanos turns seconds into nanoseconds.
func Nanos(seconds float64) int64 { return int64(math.Round(seconds * 1e9)) }

// Writer writes replies. A reply is held until it is whole: after a fault there is no half one.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer
}

// NewWriter writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Line adds one action: its name and its values.
func (w *Writer) Line(name string, values ...string) {
	w.reply.WriteString(name)
	for _, value := range values {
		w.reply.WriteByte(' ')
		w.reply.WriteString(value)
	}
	w.reply.WriteByte('\n')
}

// Ready closes a reply and sends it.
func (w *Writer) Ready(number string) error {
	w.Line("READY", number)
	_, err := w.reply.WriteTo(w.out)
	return err
}

// Seconds writes nanoseconds as seconds, to the microsecond that the wire counts in, rounded down; absent if
// 0. A positive time never turns into 0, which means something else on the wire.
func Seconds(ns int64) string {
	if ns == 0 {
		return "-"
	}
	micros := ns / 1000
	if micros == 0 {
		micros = 1
	}
	return strconv.FormatFloat(float64(micros)/1e6, 'f', -1, 64)
}
