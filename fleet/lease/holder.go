package lease

import (
	"fmt"
	"slices"
)

// Receive takes a message from another instance. Votes are to be passed on only from names under which one
// instance runs.
func (n *Node) Receive(now int64, from Instance, m Message) {
	switch m.Kind {
	case Prepare, Propose:
		for _, a := range n.vote(now, from, m) {
			n.do(Send{To: from.Name, Message: a})
		}
	case Release:
		n.released(now, from, m)
	case Promise, Accept, Reject:
		n.answer(now, from.Name, m)
	}
}

// Tick does what is due. The wall clock, ms since 1970, only lifts numbers.
func (n *Node) Tick(now, wall int64) {
	n.wall = wall
	if now < n.tickAt {
		return
	}
	n.tickAt = NextTick(now, n.config.Self.Name, n.config.RenewInterval/ticksPerRenewal)
	n.wake(now)
	n.settle(now)
	for s := range n.holds {
		if h := &n.holds[s]; h.held && now >= h.until {
			why := "no majority of the voters renewed it"
			if now >= h.until+n.config.RenewInterval {
				why = fmt.Sprintf("this instance stood still for %d ms past its end", (now-h.until)/1e6)
			}
			n.drop(s, why)
			n.release(s, h, "")
			h.busyUntil = now + n.chance(n.config.RenewInterval)
		}
	}
	if now >= n.renewAt {
		n.renewAt, n.handed = NextTick(now, n.config.Self.Name, n.config.RenewInterval), 0
		n.renew(now)
	}
	n.handOver(now)
	n.look(now)
	n.attempt(now)
}

// Next is when Tick has something to do.
func (n *Node) Next() int64 { return n.tickAt }

// NextTick is the next moment of an instance's own grid of an interval. What is due on the same grid is done at once, and what
// goes to one instance then goes in one write: that halved the cost of an instance that does nothing else.
func NextTick(now int64, name string, interval int64) int64 {
	shift := int64(mark(name)) * 1e6 % interval // instances that share a clock do not all act at once
	return now + interval - (now+shift)%interval
}

// settle notes since when a majority has been at the own epoch.
func (n *Node) settle(now int64) {
	own := n.config.Voters.Epoch
	at := n.majority(func(v int) bool { return n.voters[v] == n.config.Self.Name || n.epochs[v] >= own })
	switch {
	case !at:
		n.settled = -1
	case n.settled < 0:
		n.settled = now
	}
}

// drop ends the own hold; from here on nothing is done under it.
func (n *Node) drop(slot int, why string) {
	h := &n.holds[slot]
	h.held, h.freeSince = false, -1
	n.do(Lost{Slot: slot, Ballot: h.number, Reason: why})
}

// release tells the voters, and the one that the slot is meant for, that the own hold or try is over. It is sent
// after the end, never before.
func (n *Node) release(slot int, h *hold, heir string) {
	if h.number == 0 {
		return
	}
	m := Message{Kind: Release, Epoch: n.config.Voters.Epoch,
		Items: []SlotBallot{{Slot: slot, Ballot: h.number, Holder: Instance{Name: heir}}}}
	to := slices.Clone(n.voters)
	if heir != "" && !slices.Contains(to, heir) {
		to = append(to, heir)
	}
	h.number, h.taking = 0, false
	for _, name := range to {
		if name == n.config.Self.Name {
			n.free(&n.grants[slot], n.config.Self, m.Items[0].Ballot)
			continue
		}
		n.do(Send{To: name, Message: m})
	}
}

// renew sends takes for all that is held, and again for what has a majority of promises.
func (n *Node) renew(now int64) {
	var items []SlotBallot
	for s := range n.holds {
		if h := &n.holds[s]; h.held || h.taking {
			items = append(items, SlotBallot{Slot: s, Ballot: h.number})
		}
	}
	n.toVoters(now, Propose, items)
}

// toVoters sends items to all voters; the own vote is asked directly.
func (n *Node) toVoters(now int64, kind MessageKind, items []SlotBallot) {
	if len(items) == 0 {
		return
	}
	m := Message{Kind: kind, Epoch: n.config.Voters.Epoch, SentAt: now, Items: items}
	own := false
	for _, name := range n.voters {
		if name == n.config.Self.Name {
			own = true
			continue
		}
		n.do(Send{To: name, Message: m})
	}
	if own {
		for _, a := range n.vote(now, n.config.Self, m) {
			n.answer(now, n.config.Self.Name, a)
		}
	}
}

// answer counts a voter's answer.
func (n *Node) answer(now int64, name string, m Message) {
	v := slices.Index(n.voters, name)
	if v < 0 {
		return
	}
	n.heard[v], n.epochs[v] = now, m.Epoch
	var take []SlotBallot
	for _, i := range m.Items {
		if i.Slot < 0 || i.Slot >= len(n.holds) {
			continue
		}
		h := &n.holds[i.Slot]
		switch {
		case m.Kind == Reject:
			n.refused(now, v, m.SentAt, i)
		case h.number != i.Ballot || h.number == 0 || m.SentAt > now:
			// an answer to what was given up
		case m.Kind == Promise && !h.taking && !h.held:
			h.promises |= 1 << v
			if n.majority(func(v int) bool { return h.promises&(1<<v) != 0 }) {
				h.taking = true
				take = append(take, i)
			}
		case m.Kind == Accept && (h.taking || h.held):
			h.acked[v] = max(h.acked[v], m.SentAt)
			if h.until = n.until(h); !h.held && now < h.until {
				h.held, h.taking, h.since = true, false, now
				n.do(Acquired{Slot: i.Slot, Ballot: h.number})
			}
		}
	}
	n.toVoters(now, Propose, take)
}

// refused notes who holds a slot, and gives up a try that can't have a majority any more.
func (n *Node) refused(now int64, v int, sent int64, i SlotBallot) {
	n.ObserveBallot(i.Ballot)
	h := &n.holds[i.Slot]
	if h.held {
		return
	}
	if i.Remaining > 0 {
		// A holder may release before its time or die, so it is asked again each renewal; where it is the planned
		// one and alive, that is for others to see.
		left := min(i.Remaining, n.config.LeaseDuration)
		if n.plan == nil || n.members[n.plan[i.Slot]].Name != i.Holder.Name {
			left = min(left, n.config.RenewInterval)
		}
		h.holder, h.seen = i.Holder, i.Ballot
		h.busyUntil = max(h.busyUntil, now+left+n.chance(n.config.RenewInterval/ticksPerRenewal))
	}
	if h.number == 0 || sent < h.asked {
		return
	}
	h.refusals |= 1 << v
	if !n.majority(func(v int) bool { return h.refusals&(1<<v) == 0 }) {
		n.giveUp(now, i.Slot)
	}
}

// giveUp ends a try.
func (n *Node) giveUp(now int64, slot int) {
	h := &n.holds[slot]
	n.release(slot, h, "")
	h.tryAt = now + 1 + n.chance(n.config.RenewInterval/ticksPerRenewal)
}

// handOver gives slots to those that are planned for them, a few at a time: it stops first, and releases then.
func (n *Node) handOver(now int64) {
	if n.plan == nil || now-n.planned < steadyRenewals*n.config.RenewInterval {
		return
	}
	for s := range n.holds {
		h, heir := &n.holds[s], n.members[n.plan[s]].Name
		if n.handed > len(n.holds)/handShare {
			return
		}
		if h.held && heir != n.config.Self.Name {
			n.handed++
			n.drop(s, "handed to "+heir)
			n.release(s, h, heir)
			h.busyUntil = now + steadyRenewals*n.config.RenewInterval // the heir has until then
		}
	}
}

// look notes which slots look free.
func (n *Node) look(now int64) {
	voter := slices.Contains(n.voters, n.config.Self.Name) && now >= n.mute
	for s := range n.holds {
		h := &n.holds[s]
		switch {
		case h.held || now < h.busyUntil || voter && now < n.grants[s].until:
			h.freeSince = -1
		case h.freeSince < 0:
			h.freeSince, h.tryAt = now, now+n.turn(s)
		}
	}
}

// turn is how long this instance lets others try for a free slot first.
func (n *Node) turn(slot int) int64 {
	if n.plan == nil || n.members[n.plan[slot]].Name == n.config.Self.Name {
		return 0
	}
	behind := int64(1 + place(slot, n.members, n.config.Self.Name))
	wait := min(behind*n.config.RenewInterval/turnShare, turnsMost*n.config.RenewInterval)
	if far := behind - nearTurns; far > 0 {
		// That a slot is held is learned by asking alone. When all asked in turn, each of 30 instances sent 200 frames a
		// second: those far down the ranking leave that to the first, longer the farther they are.
		wait += min(far*farTurns, farMost) * n.config.RenewInterval
		return wait + n.chance(farTurns*n.config.RenewInterval)
	}
	return wait + n.chance(n.config.RenewInterval/turnShare)
}

// attempt asks for what is free, and gives up tries that came to nothing.
func (n *Node) attempt(now int64) {
	if n.leaving || n.plan == nil {
		return
	}
	var items []SlotBallot
	for s := range n.holds {
		h := &n.holds[s]
		if h.number != 0 && !h.held && now-h.asked >= n.config.RenewInterval {
			n.giveUp(now, s)
		}
		if h.number != 0 || h.freeSince < 0 || now < h.tryAt {
			continue
		}
		h.number, h.asked, h.promises, h.refusals, h.taking = n.number(), now, 0, 0, false
		for v := range h.acked {
			h.acked[v] = -1
		}
		items = append(items, SlotBallot{Slot: s, Ballot: h.number})
	}
	if len(items) > 0 {
		n.toVoters(now, Prepare, items)
		n.ObserveBallot(items[0].Ballot) // not before: the own vote's floor must not be the number asked with
	}
}

// Reacquire gives a slot up that is held under a number below one seen for what is done under it, and asks for it anew:
// all of a majority had restarted with wall clocks set back, and nobody takes what is done under the low one.
func (n *Node) Reacquire(now int64, slot int, seen uint64) {
	n.ObserveBallot(seen)
	if number, _, ok := n.Holds(now, slot); !ok || number >= seen || n.highest < seen {
		return
	}
	n.drop(slot, "a higher number was seen")
	n.release(slot, &n.holds[slot], "")
	n.holds[slot].busyUntil = 0
	n.look(now)
	n.attempt(now)
}

// number is one above all that is known, and not behind the wall clock.
func (n *Node) number() uint64 {
	if n.fault.reuseNumbers {
		return 1 << numberShift
	}
	return max(n.highest>>numberShift+1, uint64(max(n.wall, 0)))<<numberShift | mark(n.config.Self.Name)
}

// ReleaseAll stops all at once and hands it over; nothing is asked for from then on.
func (n *Node) ReleaseAll(now int64, others []Candidate) {
	n.leaving = true
	plan := Assign(n.config.Slots, others)
	for s := range n.holds {
		h := &n.holds[s]
		if h.held {
			n.drop(s, "this instance leaves")
		}
		heir := ""
		if plan != nil {
			heir = others[plan[s]].Name
		}
		n.release(s, h, heir)
	}
}
