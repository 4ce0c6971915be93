package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"tealpath/control"
)

// pick returns a random item of a list, or the zero value if the list is empty.
func pick[T any](rng *rand.Rand, list []T) (value T) {
	if len(list) == 0 {
		return value
	}
	return list[rng.IntN(len(list))]
}

// pickNewest returns a random one of the last eight items of a list, or the zero value if the list is empty.
func pickNewest[T any](rng *rand.Rand, list []T) T {
	return pick(rng, list[max(0, len(list)-8):])
}

// oneOf returns true with a probability of 1/n.
func (run *drawnRun) oneOf(n int) bool { return run.rng.IntN(n) == 0 }

// receive handles a random request, which may repeat an earlier one or have an unusable field.
func (run *drawnRun) receive() {
	run.lastID++
	if run.lastClient == 0 || run.oneOf(15) {
		run.lastClient++
	}
	request := drawnRequest{
		client: max(1, run.lastClient-ClientID(run.rng.IntN(3))),
		seq:    int32(run.lastID),
		id:     fmt.Sprintf("%016x", uint64(run.lastID)*0x9e3779b97f4a7c15),
	}
	if run.oneOf(15) && len(run.requests) > 0 {
		earlier := pickNewest(run.rng, run.requests)
		request.id = earlier.id // a repeated ID, of a request that may still be in flight
		if run.oneOf(2) {
			request.seq, request.client = earlier.seq, earlier.client
		}
	}
	fields := run.drawFields(request.id)
	arrivedAt := []int64{0, run.now, run.now - run.rng.Int64N(second/5), run.now + millisecond}[run.rng.IntN(4)]
	if run.oneOf(60) {
		arrivedAt = run.now - 3*second
	}
	body := []byte(strings.Repeat("q", run.rng.IntN(300)))
	if run.oneOf(100) {
		body = make([]byte, maxBodyBytes+run.rng.IntN(2))
	}
	run.requests = append(run.requests, request)
	run.handle(drawnRequestReceived(request, arrivedAt, fields, body))
}

// drawFields returns random wire fields of a request with an ID.
func (run *drawnRun) drawFields(id string) map[string]string {
	object := run.rng.IntN(1 + run.rng.IntN(40))
	fields := map[string]string{
		"verb":  pick(run.rng, []string{"pictures", "pictures", "pictures", "payments", "permits"}),
		"txn":   id,
		"limit": pick(run.rng, []string{"2500", "2500", "1000", "600", "300", "99999999", "0", "21", "030"}),
		"item":  fmt.Sprintf("%016x", object),
		"nth":   pick(run.rng, []string{"0", "0", "1", "007"}),
		"batch": fmt.Sprint(object % 5),
	}
	if run.oneOf(4) {
		fields["unique"] = pick(run.rng, []string{"6ad8595c69c03e9f5892348d52ee1791", "a key", "ä+b"})
	}
	if run.oneOf(4) {
		fields["got"] = pick(run.rng, []string{"4be0c1927d55a6f3", "4BE0C1927D55A6F3", "a,b=c"})
	}
	if run.oneOf(6) {
		fields["second"] = pick(run.rng, []string{"1", "0", "yes"})
	}
	if run.oneOf(4) {
		fields["ram"] = pick(run.rng, []string{"194.179", "0.5", "NaN", "-1", "1e9", "Inf", "x"})
	}
	if run.oneOf(12) {
		run.invalidateField(fields)
	}
	return fields
}

// invalidateField replaces the value of one field by one that is mostly unusable, or removes the field.
func (run *drawnRun) invalidateField(fields map[string]string) {
	name := pick(run.rng, []string{"verb", "txn", "limit", "item", "nth", "batch", "unique"})
	if run.oneOf(3) {
		delete(fields, name)
		return
	}
	fields[name] = pick(run.rng, []string{
		"", "-1", "+3", "x", "256", "255", "4294967295", "2147483648", "1e3", "a=b", "a,b",
		"0123456789abcdeg", "0123456789ABCDEF0", "a\rb", "a\nb", "0x12345678901234", "1_000",
	})
}

// respond handles a random response of an endpoint, mostly to an attempt that has no response yet.
func (run *drawnRun) respond() {
	if len(run.sent) == 0 {
		return
	}
	at := run.rng.IntN(len(run.sent))
	attempt := run.sent[at]
	if !run.oneOf(12) { // an attempt that stays in sent may get a second response
		run.sent = slices.Delete(run.sent, at, at+1)
	}
	if run.oneOf(40) && len(run.answered) > 0 {
		attempt = pickNewest(run.rng, run.answered)
	}
	if run.oneOf(60) {
		attempt = drawnAttempt{attempt.connection + ConnectionID(run.rng.IntN(3)), pickNewest(run.rng, run.requests).id}
	}
	run.answered = append(run.answered, attempt)
	event := ResponseReceived{
		Connection: attempt.connection,
		ID:         attempt.id,
		Result:     control.Succeeded,
		Body:       []byte(strings.Repeat(":", run.rng.IntN(200))),
		Note:       int64(run.rng.IntN(6)),
	}
	if run.oneOf(8) {
		event.Result = pick(run.rng, []control.Result{
			control.Overloaded,
			control.NotCached,
			control.ServerError,
			control.Stale,
			control.NotSent,
		})
		event.Unversioned = event.Result == control.ServerError && run.oneOf(2)
		event.Note = int64(run.rng.IntN(10))
	}
	event.NotModified = event.Result == control.Succeeded && run.oneOf(8)
	if run.oneOf(3) {
		event.IssuedAt = run.now - run.rng.Int64N(12*second)
	}
	if run.oneOf(3) {
		event.LoadReport = []float64{0, float64(run.rng.IntN(30))}
		event.TimeToFirstByte = run.rng.Int64N(second)
	}
	run.handle(event)
}

// connectionUp establishes a dialled connection, or sometimes repeats the event for an established or closed one.
func (run *drawnRun) connectionUp() {
	if len(run.dialled) == 0 || run.oneOf(30) {
		known := slices.Concat(run.established, run.closed)
		run.handle(ConnectionUp{Connection: pickNewest(run.rng, known)})
		return
	}
	at := run.rng.IntN(len(run.dialled))
	connection := run.dialled[at]
	run.dialled = slices.Delete(run.dialled, at, at+1)
	run.established = append(run.established, connection)
	run.handle(ConnectionUp{Connection: connection})
}

// connectionDown ends a dialled or an established connection, or sometimes repeats the event for a closed one.
func (run *drawnRun) connectionDown() {
	known := run.established
	if len(run.dialled) > 0 && run.oneOf(2) {
		known = run.dialled
	}
	event := ConnectionDown{
		Connection: pick(run.rng, known),
		Cause:      pick(run.rng, []Cause{Remote, Local}),
		Reason:     "text",
	}
	if run.oneOf(20) {
		event.Connection = pickNewest(run.rng, run.closed)
	}
	for _, attempt := range run.sent {
		if attempt.connection == event.Connection && run.oneOf(2) {
			event.Unsent = append(event.Unsent, attempt.id)
		}
	}
	run.connectionEnded(event.Connection)
	run.handle(event)
}

// connectionEnded records that a connection has ended, and removes the attempts on it.
func (run *drawnRun) connectionEnded(connection ConnectionID) {
	same := func(other ConnectionID) bool { return other == connection }
	run.dialled = slices.DeleteFunc(run.dialled, same)
	run.established = slices.DeleteFunc(run.established, same)
	run.closed = append(run.closed, connection)
	run.sent = slices.DeleteFunc(run.sent, func(attempt drawnAttempt) bool {
		return attempt.connection == connection
	})
}

// attemptWithdrawn handles an AttemptWithdrawn, mostly for an attempt that the reducer has withdrawn.
func (run *drawnRun) attemptWithdrawn() {
	attempt := pickNewest(run.rng, run.withdrawals)
	if len(run.sent) > 0 && run.oneOf(4) {
		attempt = pick(run.rng, run.sent)
	}
	run.sent = slices.DeleteFunc(run.sent, func(other drawnAttempt) bool { return other == attempt })
	run.handle(AttemptWithdrawn{Connection: attempt.connection, ID: attempt.id})
}

// clientEnded cancels a request, or half-closes or closes its client's connection.
func (run *drawnRun) clientEnded() {
	request := pickNewest(run.rng, run.requests)
	switch run.rng.IntN(4) {
	case 0, 1:
		run.handle(RequestCancelled{Client: request.client, Seq: request.seq})
	case 2:
		run.handle(ClientHalfClosed{Client: request.client})
		if run.oneOf(2) {
			run.repeatElsewhere(request.id)
		}
	default:
		run.handle(ClientDisconnected{Client: request.client})
	}
}

// repeatElsewhere sends a request with an ID that was used before, from a new client.
func (run *drawnRun) repeatElsewhere(id string) {
	run.lastClient++
	request := drawnRequest{client: run.lastClient, seq: 1, id: id}
	run.requests = append(run.requests, request)
	run.handle(drawnRequestReceived(request, run.now, run.drawFields(id), nil))
}

// updateEndpoints changes one entry of the endpoint list, or sends the complete list.
func (run *drawnRun) updateEndpoints() {
	at := run.rng.IntN(len(run.entries))
	entry := &run.entries[at]
	switch run.rng.IntN(8) {
	case 0:
		entry.Phase = pick(run.rng, []string{"draining", "gone"})
	case 1, 2:
		entry.Phase = "ready"
	case 3:
		entry.StartedAt, entry.Phase = run.now, "ready"
	case 4:
		entry.Capacity = run.rng.Float64() * 10
	case 5:
		entry.Address = fmt.Sprint("10.0.", run.rng.IntN(3), ".", 1+run.rng.IntN(4), ":1")
	case 6:
		added := cacheEntry(fmt.Sprint("s-", run.rng.IntN(40)), fmt.Sprint("10.0.3.", run.rng.IntN(30), ":1"))
		added.StartedAt = run.now
		added.Location = pick(run.rng, []string{"here", "here", "here", "there"})
		run.entries = append(run.entries, added)
		at = len(run.entries) - 1
	case 7:
		if len(run.entries) > 5 {
			run.entries = slices.Delete(run.entries, at, at+1)
		}
		run.handle(EndpointListUpdated{Complete: true, Entries: slices.Clone(run.entries)})
		return
	}
	for i := range run.entries { // entries with the same name are for the same instance, so they change too
		if i != at && run.entries[i].Instance == run.entries[at].Instance {
			run.entries[i] = run.entries[at]
		}
	}
	run.handle(EndpointListUpdated{Entries: slices.Clone(run.entries[at : at+1])})
}

// purge handles the purge of a random object or group.
func (run *drawnRun) purge() {
	event := PurgeReceived{
		Object:   fmt.Sprintf("%016x", run.rng.IntN(40)),
		Group:    int64(run.rng.IntN(5)),
		PurgedAt: run.now - run.rng.Int64N(second),
	}
	if run.oneOf(3) {
		event.Object = ""
	}
	run.handle(event)
}

// probeEnded handles a random result of a health check. Its endpoint may be unknown.
func (run *drawnRun) probeEnded() {
	event := ProbeEnded{Instance: pick(run.rng, run.entries).Instance, Healthy: !run.oneOf(3)}
	if run.oneOf(10) {
		event.Instance = "nobody"
	}
	if run.oneOf(2) {
		event.LoadReport = []float64{1, float64(run.rng.IntN(30))}
	}
	run.handle(event)
}

// advance moves the clock by a random time: mostly not at all or a little, sometimes far ahead or a little back.
func (run *drawnRun) advance() {
	switch n := run.rng.IntN(100); {
	case n < 35:
	case n < 92:
		run.now += run.rng.Int64N(20 * millisecond)
	case n < 97:
		run.now += run.rng.Int64N(400 * millisecond)
	case n < 98:
		run.now -= run.rng.Int64N(millisecond)
	case run.oneOf(6):
		run.now += run.rng.Int64N(20 * second)
	}
}

// timerFired fires the timer. If it is due within two seconds, the clock moves to its time, or to 1 ns before.
func (run *drawnRun) timerFired() {
	if run.timer > run.now && run.timer < run.now+2*second {
		run.now = run.timer - int64(run.rng.IntN(2))
	}
	run.handle(TimerFired{})
}

// beginShutdown starts the graceful shutdown, with a probability of 1/2.
func (run *drawnRun) beginShutdown() {
	run.shutdown = true
	if run.oneOf(2) {
		run.handle(ShutdownStarted{AnswerDeadline: run.now + run.rng.Int64N(2*second)})
	}
}

// step advances the clock and handles one random event.
func (run *drawnRun) step(number int) {
	run.advance()
	if number > drawnEventsPerRun*9/10 && !run.shutdown {
		run.beginShutdown()
		return
	}
	switch n := run.rng.IntN(100); {
	case n < 27:
		run.receive()
	case n < 52:
		run.respond()
	case n < 64:
		run.connectionUp()
	case n < 68:
		run.connectionDown()
	case n < 74:
		run.clientEnded()
	case n < 77:
		run.attemptWithdrawn()
	case n < 81:
		run.updateEndpoints()
	case n < 84:
		run.purge()
	case n < 86:
		run.probeEnded()
	case n < 99:
		run.timerFired()
	default:
		run.handle(pick(run.rng, []Event{nil, 7, "no event"})) // the reducer must ignore unknown types of events
	}
}
