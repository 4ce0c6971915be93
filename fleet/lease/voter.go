package lease

// vote is the voter's side: it answers an Ask or a Take. The slot goes to one holder at a time, whatever numbers
// say: that clause is what two holders can never pass.
func (n *Node) vote(now int64, from Instance, m Message) (answers []Message) {
	if now < n.mute && !n.fault.grantAtOnce {
		return nil // who knows what was granted before the start
	}
	n.wake(now)
	good := Message{Kind: Promise, Epoch: n.config.Voters.Epoch, SentAt: m.SentAt}
	if m.Kind == Propose {
		good.Kind = Accept
	}
	bad := Message{Kind: Reject, Epoch: n.config.Voters.Epoch, SentAt: m.SentAt}
	own := n.config.Voters.Epoch
	for _, i := range m.Items {
		if i.Slot < 0 || i.Slot >= len(n.grants) {
			continue
		}
		g := &n.grants[i.Slot]
		held := now < g.until && g.holder != from
		behind := i.Ballot < g.promised || i.Ballot == g.promised && g.promisedTo != from
		if m.Kind == Propose && i.Ballot >= g.number && now-g.promisedAt >= n.config.LeaseDuration {
			behind = false // a promise that nothing came of kept a voter from its slot's holder for a whole tenure
		}
		if m.Kind == Prepare {
			// The floor is for numbers that were known when the silence ended: their promises are forgotten.
			behind = behind || i.Ballot <= n.floor || i.Ballot <= g.number
		}
		behind = behind && !n.fault.reuseNumbers
		if held || behind || m.Epoch != own && m.Epoch != own+1 {
			no := SlotBallot{Slot: i.Slot, Ballot: max(g.promised, g.number, n.floor)}
			if held {
				no.Holder, no.Remaining = g.holder, g.until-now
			}
			bad.Items = append(bad.Items, no)
			continue
		}
		if m.Kind == Prepare || i.Ballot >= g.promised {
			g.promised, g.promisedTo, g.promisedAt = max(g.promised, i.Ballot), from, now
		}
		if m.Kind == Propose {
			g.holder, g.number, g.until = from, i.Ballot, now+n.config.LeaseDuration
			n.ObserveBallot(i.Ballot)
		}
		good.Items = append(good.Items, SlotBallot{Slot: i.Slot, Ballot: i.Ballot})
	}
	for _, a := range []Message{good, bad} {
		if len(a.Items) > 0 {
			answers = append(answers, a)
		}
	}
	return answers
}

// wake ends the silence of a start. Numbers heard of until then are asked above of, as promises are forgotten.
func (n *Node) wake(now int64) {
	if n.floor == 0 && now >= n.mute {
		n.floor = max(n.highest, 1)
	}
}

// free ends a grant. A take under its number that is late by now is not accepted any more.
func (n *Node) free(g *grant, from Instance, number uint64) {
	if g.holder == from && g.number == number {
		g.holder, g.number, g.until = Instance{}, number+1, 0
		g.promised = max(g.promised, number+1)
	}
}

// released takes back what a holder has given up.
func (n *Node) released(now int64, from Instance, m Message) {
	for _, i := range m.Items {
		if i.Slot < 0 || i.Slot >= len(n.grants) {
			continue
		}
		n.free(&n.grants[i.Slot], from, i.Ballot)
		n.ObserveBallot(i.Ballot)
		h := &n.holds[i.Slot]
		if h.held || h.number != 0 || n.leaving {
			continue
		}
		h.busyUntil, h.freeSince, h.tryAt = 0, now, now
		if i.Holder.Name != n.config.Self.Name {
			h.tryAt = now + n.turn(i.Slot) // the one it is meant for comes first
		}
	}
	n.attempt(now)
}
