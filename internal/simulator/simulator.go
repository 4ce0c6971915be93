// Package simulator runs routers on the bench's wire: it decodes events into calls of the control package, keeps
// the timers and the retrievals in hand, and encodes what the calls return. It decides nothing.
package simulator

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"tealpath/control"
	"tealpath/internal/config"
	"tealpath/internal/simulator/wire"
	"tealpath/internal/timerqueue"
)

// Tokens of the two timers that an instance keeps.
const (
	periodic = "1"
	dueTimes = "2"
)

// hand is a retrieval that the instance took.
type hand struct {
	control.Request
	id       string
	finished bool
	out      int   // dispatches that have not ended
	due      int64 // when the module wants to be asked again; 0 is not
}

// askAgain is how long after a failed subscription the next one is tried.
const askAgain = int64(5e8)

// instance is one router and what the adapter holds for it.
type instance struct {
	name   string
	router *control.Router
	taken  map[string]*hand
	due    timerqueue.Queue[*hand]
	armed  int64 // when the next wake-up for a due time comes; 0 if none is set
	asks   bool  // changes of the list come only to who subscribed
	askAt  int64 // when that is due
}

// Host is all instances of one process.
type Host struct {
	out       *wire.Writer
	instances map[string]*instance
}

// Run plays batches from in until it ends.
func Run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := &Host{out: wire.NewWriter(out), instances: map[string]*instance{}}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, event := range batch.Events {
			if err := h.guarded(batch.Now, event); err != nil {
				return &wire.Fault{Batch: batch.Number, Line: event.Line, Why: err.Error()}
			}
		}
		if err := h.out.Ready(batch.Number); err != nil {
			return err
		}
	}
}

// guarded turns a panic of the module into BAIL_OUT.
func (h *Host) guarded(now int64, event wire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.out.Line("BAIL_OUT", event.Fields[0], strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
		}
	}()
	return h.event(now, event)
}

func (h *Host) event(now int64, event wire.Event) error {
	if event.Name == "START" {
		return h.start(now, event)
	}
	in := h.instances[event.Fields[0]]
	if in == nil || in.router == nil {
		return nil
	}
	switch event.Name {
	case "EXIT":
		delete(h.instances, in.name)
	case "FLEET":
		return h.list(now, in, event)
	case "SUBMIT":
		return h.submit(now, in, event)
	case "ENDED":
		return h.ended(now, in, event)
	case "ESTABLISHED":
		if t := in.taken[event.Fields[1]]; t != nil {
			n, err := event.Int(3)
			if err != nil {
				return err
			}
			// It is the client's now; the others are called off.
			others := in.router.ClientGone(now, &t.Request).Cancel
			h.cancel(in, t, slices.DeleteFunc(others, func(other int) bool { return other == int(n) }))
		}
	case "GONE":
		if t := in.taken[event.Fields[1]]; t != nil {
			in.router.ClientGone(now, &t.Request)
			in.finish(t)
		}
	case "RECALLED":
		group, err := event.Int(2)
		if err != nil {
			return err
		}
		ago, err := event.Time(3)
		if err != nil {
			return err
		}
		object := event.Text(1)
		if object == "0" {
			object = ""
		}
		in.router.Purge(now, object, group, now-ago)
	case "ECHO":
		return h.echo(now, in, event)
	case "TICK_DUE":
		switch event.Fields[1] {
		case periodic:
			h.tick(now, in)
		case dueTimes:
			in.armed = 0
			h.wake(now, in)
		}
	}
	return nil
}

func (h *Host) start(now int64, event wire.Event) error {
	name := event.Fields[0]
	seed, err := strconv.ParseUint(event.Fields[1], 10, 64)
	if err != nil {
		return fmt.Errorf("bad seed")
	}
	told, err := config.ParseSettings([]byte(event.Fields[2]))
	if err != nil {
		return err
	}
	in := &instance{name: name, taken: map[string]*hand{}, asks: told["list.mode"] == "ask"}
	h.instances[name] = in
	in.router, err = control.New(now, seed, told, func(line string) { h.out.Line("PRINT", name, line) })
	if err != nil {
		h.out.Line("BAIL_OUT", name, err.Error())
		return nil
	}
	h.tick(now, in)
	return nil
}

// tick does the periodic work and sets the one periodic timer again.
func (h *Host) tick(now int64, in *instance) {
	probe, again := in.router.Tick(now)
	for _, id := range probe {
		h.out.Line("INSPECT", in.name, strconv.FormatUint(uint64(id), 10))
	}
	if in.asks && now >= in.askAt {
		in.askAt = math.MaxInt64
		h.out.Line("SUBSCRIBE", in.name, "1")
	}
	h.out.Line("WAKE_ME", in.name, wire.Seconds(again), periodic)
}

func (h *Host) list(now int64, in *instance, event wire.Event) error {
	if event.Fields[1] == "failed" {
		in.askAt = now + askAgain
		return nil
	}
	lines := make([]control.Endpoint, len(event.Items))
	for i, item := range event.Items {
		id, err := strconv.ParseUint(item.Fields[0], 10, 32)
		if err != nil {
			return fmt.Errorf("bad member id")
		}
		cell, err1 := item.Int(3)
		units, err2 := item.Float(5)
		started, err3 := item.Time(6)
		if err := errors.Join(err1, err2, err3); err != nil {
			return err
		}
		lines[i] = control.Endpoint{ID: uint32(id), Location: item.Fields[1], Kind: item.Fields[2], Cell: cell,
			Phase: item.Fields[4], Capacity: units, StartedAt: started}
	}
	in.router.UpdateEndpoints(now, lines, event.Fields[1] != "delta")
	return nil
}

func (h *Host) submit(now int64, in *instance, event wire.Event) error {
	bits, err1 := event.Int(2)
	size, err2 := event.Float(4)
	part, err3 := event.Int(5)
	stop, err4 := event.Time(6)
	group, err5 := event.Int(7)
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	t := &hand{id: event.Fields[1], Request: control.Request{Class: event.Fields[9],
		Object: event.Text(8), Group: group, Part: part, SizeKB: size, Deadline: stop, ClientRetry: bits&2 != 0,
		Write: bits&4 != 0}}
	in.taken[t.id] = t
	h.act(now, in, t, in.router.Decide(now, &t.Request))
	return nil
}

// results says what an outcome's word means to the module.
var results = map[string]control.Result{
	"GOOD": control.Succeeded, "BAD": control.ServerError, "FULL": control.Overloaded, "LATE": control.TimedOut,
	"NOCONN": control.Unreachable, "RST": control.ConnectionLost, "CXL": control.Cancelled, "NOP": control.NotSent,
	"MISS": control.NotHeld,
}

func (h *Host) ended(now int64, in *instance, event wire.Event) error {
	result, known := results[event.Fields[4]]
	if !known {
		return fmt.Errorf("unknown outcome")
	}
	n, err1 := event.Int(2)
	spent, err2 := event.Time(5)
	closed, err3 := event.Bool(6)
	note, err4 := event.Int(7)
	waited, err5 := event.Time(8)
	load, err6 := event.Floats(9)
	if err := errors.Join(err1, err2, err3, err4, err5, err6); err != nil {
		return err
	}
	t := in.taken[event.Fields[1]]
	if t == nil {
		return nil
	}
	t.out--
	d := in.router.AttemptEnded(now, &t.Request, control.Outcome{Attempt: int(n), Result: result, Elapsed: spent,
		RequestEnded: closed, Note: note, TimeToFirstByte: waited, LoadReport: load})
	if closed || t.finished {
		h.cancel(in, t, d.Cancel)
		in.finish(t)
		return nil
	}
	h.act(now, in, t, d)
	return nil
}

func (h *Host) echo(now int64, in *instance, event wire.Event) error {
	id, err := strconv.ParseUint(event.Fields[3], 10, 32)
	if err != nil {
		return fmt.Errorf("bad member id")
	}
	load, err := event.Floats(4)
	if err != nil {
		return err
	}
	in.router.ProbeEnded(now, uint32(id), event.Fields[2] == "GOOD", load)
	return nil
}

// wake asks again about every retrieval whose due time has come.
func (h *Host) wake(now int64, in *instance) {
	for in.due.Next() <= now {
		at, t := in.due.Pop()
		if !t.finished && t.due == at {
			t.due = 0
			h.act(now, in, t, in.router.Decide(now, &t.Request))
		}
	}
	h.arm(now, in)
}

// act carries out a decision.
func (h *Host) act(now int64, in *instance, t *hand, d control.Decision) {
	if t.finished {
		return
	}
	switch d.Verdict {
	case control.Send:
		h.send(in, t, d.Attempt)
	case control.Reject:
		h.out.Line("SAY_NO", in.name, t.id, wire.Seconds(d.RetryAfter))
		in.finish(t)
	case control.Fail:
		h.out.Line("FAIL", in.name, t.id)
		in.finish(t)
	}
	h.cancel(in, t, d.Cancel)
	h.plan(now, in, t)
}

func (h *Host) cancel(in *instance, t *hand, numbers []int) {
	for _, n := range numbers {
		h.out.Line("REVOKE", in.name, t.id, strconv.Itoa(n))
	}
}

func (h *Host) send(in *instance, t *hand, d control.Attempt) {
	t.out++
	cache := strconv.FormatUint(uint64(d.Cache), 10)
	if d.CacheOnly {
		h.out.Line("TRANSMIT", in.name, t.id, cache, wire.Seconds(d.Timeout))
		return
	}
	manner := 0
	for bit, on := range []bool{d.JoinFill, d.ParentOnlyIfCached, d.ParentNoStore, d.RefreshBehind} {
		if on {
			manner += 1 << bit
		}
	}
	h.out.Line("PULL_VIA", in.name, t.id, strconv.Itoa(manner), wire.Seconds(d.MaxAge),
		strconv.FormatUint(uint64(d.Source), 10), wire.Seconds(d.Timeout), cache, strconv.FormatInt(d.CachePriority, 10))
}

// finish drops a retrieval's due time, and the retrieval itself once nothing of it is out.
func (in *instance) finish(t *hand) {
	t.finished = true
	if t.out <= 0 {
		delete(in.taken, t.id)
	}
}

// plan asks how long to wait for this retrieval and enters that into the ordered due times.
func (h *Host) plan(now int64, in *instance, t *hand) {
	if t.finished {
		return
	}
	wait := in.router.RecheckDelay(now, &t.Request)
	if wait <= 0 {
		t.due = 0
		return
	}
	t.due = now + wait
	in.due.Push(t.due, t)
	h.arm(now, in)
}

// arm sets a wake-up for the earliest due time unless one comes by then.
func (h *Host) arm(now int64, in *instance) {
	next := in.due.Next()
	if next == timerqueue.Never || in.armed != 0 && in.armed <= next {
		return
	}
	in.armed = next
	h.out.Line("WAKE_ME", in.name, wire.Seconds(max(in.armed-now, 1000)), dueTimes)
}
