package simulator

import (
	"strconv"

	"tealpath/control"
	"tealpath/internal/simulator/wire"
)

// The wire's commands.
const (
	commandBailOut   = "BAIL_OUT"
	commandCancel    = "REVOKE"
	commandFail      = "FAIL"
	commandLog       = "PRINT"
	commandProbe     = "INSPECT"
	commandReject    = "SAY_NO"
	commandSend      = "TRANSMIT" // to a cache, which serves only what it holds
	commandSendFill  = "PULL_VIA" // to a cache, which may fill from a source
	commandSetTimer  = "WAKE_ME"
	commandSubscribe = "SUBSCRIBE"
)

// The wire's flags of an attempt that may fill.
const (
	flagJoinFill = 1 << iota
	flagParentOnlyIfCached
	flagParentNoStore
	flagRefreshBehind
)

// apply carries out a decision on a request.
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

// cancel cancels attempts of a request, by their numbers.
func (h *Host) cancel(in *instance, r *request, attempts []int) {
	for _, number := range attempts {
		h.out.Line(commandCancel, in.name, r.id, strconv.Itoa(number))
	}
}

// send starts an attempt.
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
