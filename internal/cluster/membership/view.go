package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"tealpath/internal/cluster/timing"

	"github.com/cespare/xxhash/v2"
)

// view is what is handed on: the entries that count, held back while what is known keeps changing.
type view struct {
	entries      []Entry
	number       uint64 // of views handed on
	handedAt     int64
	dirtySince   int64 // since when what is known differs from the view, or never
	changedAt    int64 // when it last changed
	heldOutUntil int64 // when the next one that is held out may count; 0: none is
}

// touch notes that the published view is out of date.
func (table *Table) touch(now int64) {
	table.view.touch(now)
}

// touch notes that what is known has changed.
func (view *view) touch(now int64) {
	view.changedAt = now
	if !timing.Happened(view.dirtySince) {
		view.dirtySince = now
	}
}

// next is when the view is to be looked at again, or noTime.
func (view *view) next(interval int64) int64 {
	next := noTime
	if timing.Happened(view.dirtySince) {
		next = view.changedAt + interval/quietPart
	}
	if view.heldOutUntil > 0 {
		next = min(next, view.heldOutUntil)
	}
	return next
}

// settleView publishes the view once what is known has stopped changing, or has gone on changing for long.
// So the loss of a whole zone is one change of the view.
func (table *Table) settleView(now int64) {
	view, interval := &table.view, table.config.HeartbeatInterval
	if view.heldOutUntil > 0 && now >= view.heldOutUntil {
		table.touch(now - interval)
		view.heldOutUntil = 0
	}
	quiet := now-view.changedAt >= interval/quietPart
	tooLong := now-view.dirtySince >= table.config.intervals(maxChanging)
	if timing.Happened(view.dirtySince) && (quiet || tooLong) {
		table.publish(now)
	}
}

// publish makes the view of what is known now.
func (table *Table) publish(now int64) {
	view := &table.view
	view.dirtySince = timing.Never
	var entries []Entry
	if !table.self.entry.Leaving {
		entries = append(entries, table.self.entry)
	}
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		table.updateHeldOut(now, member)
		if member.State == Alive && !member.HeldOut {
			entries = append(entries, member.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	same := slices.EqualFunc(entries, view.entries, sameInView)
	view.entries = entries
	if !same || view.number == 0 {
		view.number++
		view.handedAt = now
		table.version++
	}
	table.updateRings(now)
}

// sameInView reports whether two entries are the same to those that the view is handed to.
func sameInView(a, b Entry) bool {
	return a.Name == b.Name && a.Weight == b.Weight && a.Address == b.Address && a.Incarnation == b.Incarnation
}

// updateHeldOut holds a member that keeps dying out of the view, and notes when it may count.
func (table *Table) updateHeldOut(now int64, member *record) {
	countsFrom := member.Since + member.holdOut(table.config.HeartbeatInterval)
	member.HeldOut = member.State == Alive && now < countsFrom
	if !member.HeldOut {
		return
	}
	if view := &table.view; view.heldOutUntil == 0 || countsFrom < view.heldOutUntil {
		view.heldOutUntil = countsFrom
	}
}

// Alive returns the instances that can hold leases, by name, as of the published view: the own one unless
// it leaves, and all that are believed alive.
func (table *Table) Alive() []Entry { return table.view.entries }

// ViewInfo is the number here of the view handed on, its digest, which is the same wherever the same is
// believed, and since when it is handed on.
func (table *Table) ViewInfo() (number, digest uint64, since int64) {
	for _, entry := range table.view.entries {
		incarnation := binary.LittleEndian.AppendUint64(nil, entry.Incarnation)
		digest ^= xxhash.Sum64String(entry.Name + "\x00" + string(incarnation))
	}
	return table.view.number, digest, table.view.handedAt
}
