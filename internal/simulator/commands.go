package simulator

import (
	"strconv"

	"tealpath/control"
	"tealpath/internal/simulator/wire"
)

// Commands to the simulator.
const (
	commandBailOut   = "BAIL_OUT"
	commandCancel    = "REVOKE"
	commandFail      = "FAIL"
	commandLog       = "PRINT"
	commandProbe     = "INSPECT"
	commandReject    = "SAY_NO"
	commandSend      = "TRANSMIT" // start an attempt; on a miss the cache does not fill the object
	commandSendFill  = "PULL_VIA" // start an attempt; on a miss the cache fills the object from a source
	commandSetTimer  = "WAKE_ME"
	commandSubscribe = "SUBSCRIBE"
)

// Flags of commandSendFill, see control.Attempt.
const (
	flagJoinFill = 1 << iota
	flagParentOnlyIfCached
	flagParentNoStore
	flagRefreshBehind
)

// apply sends the commands for a decision on a request and schedules the next decision.
func (h *Host) apply(now int64, in *instance, r *request, decision control.Decision) {
	if r.finished {
		return
	}
	switch decision.Verdict {
	case control.Send:
		h.send(in, r, decision.Attempt)
	case control.Reject:
		h.out.Line(commandReject, in.name, r.id, wire.Seconds(decision.RetryAfter))
		in.finish(r)
	case control.Fail:
		h.out.Line(commandFail, in.name, r.id)
		in.finish(r)
	}
	h.cancel(in, r, decision.Cancel)
	h.scheduleRecheck(now, in, r)
}

// cancel sends a command for each of the given attempt numbers of a request, which cancels that attempt.
func (h *Host) cancel(in *instance, r *request, attempts []int) {
	for _, number := range attempts {
		h.out.Line(commandCancel, in.name, r.id, strconv.Itoa(number))
	}
}

// send sends the command that starts an attempt.
func (h *Host) send(in *instance, r *request, attempt control.Attempt) {
	r.attempts++
	cache := encodeEndpoint(attempt.Cache)
	timeout := wire.Seconds(attempt.Timeout)
	if attempt.CacheOnly {
		h.out.Line(commandSend, in.name, r.id, cache, timeout)
		return
	}
	h.out.Line(commandSendFill, in.name, r.id,
		strconv.Itoa(encodeFlags(attempt)),
		wire.Seconds(attempt.MaxAge),
		encodeEndpoint(attempt.Source),
		timeout,
		cache,
		strconv.FormatInt(attempt.CachePriority, 10),
	)
}

func encodeEndpoint(id uint32) string {
	return strconv.FormatUint(uint64(id), 10)
}

func encodeFlags(attempt control.Attempt) int {
	flags := 0
	if attempt.JoinFill {
		flags |= flagJoinFill
	}
	if attempt.ParentOnlyIfCached {
		flags |= flagParentOnlyIfCached
	}
	if attempt.ParentNoStore {
		flags |= flagParentNoStore
	}
	if attempt.RefreshBehind {
		flags |= flagRefreshBehind
	}
	return flags
}
