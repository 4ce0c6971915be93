package membership

import (
	"maps"
	"slices"
)

// queuedReport is a report that waits to be passed on to all neighbours except the sender named in from. If from is
// empty, no neighbour is left out.
type queuedReport struct {
	Report
	from string
}

// queuedEntry is an entry that is passed on to all neighbours except the sender named in from. If from is empty, no
// neighbour is left out.
type queuedEntry struct {
	Entry
	from string
}

// queuedName marks a name whose entry, as it will be at the time of sending, is to be passed on to all neighbours
// except the sender named in from. If from is empty, no neighbour is left out.
type queuedName struct{ from string }

// gossipQueue holds the entries and reports that wait to be passed on to neighbours.
type gossipQueue struct {
	entries map[string]queuedName
	reports []queuedReport
	sendAt  int64             // when the queue is to be sent; 0: nothing is queued
	rumours map[string]uint64 // by member: 1 + the version that the last rumour passed on was about
}

func newGossipQueue() gossipQueue {
	return gossipQueue{entries: map[string]queuedName{}, rumours: map[string]uint64{}}
}

// next returns when the queue is to be sent, or noTime if it is empty.
func (queue *gossipQueue) next() int64 {
	if queue.sendAt == 0 {
		return noTime
	}
	return queue.sendAt
}

// isNewRumour reports whether a rumour that the member is dead is the first one passed on for the member's present
// version. It records that this rumour is passed on.
func (queue *gossipQueue) isNewRumour(member *record) bool {
	if queue.rumours[member.Name] == member.Version+1 {
		return false
	}
	queue.rumours[member.Name] = member.Version + 1
	return true
}

// schedule sets the time at which the queue is sent to interval/batchDivisor after now, unless a time is set already.
func (queue *gossipQueue) schedule(now, interval int64) {
	if queue.sendAt == 0 {
		queue.sendAt = now + interval/batchDivisor
	}
}

// passOn queues the entry of a member for all neighbours except the named one, which sent the entry. An empty from
// excludes none.
func (table *Table) passOn(now int64, name, from string) {
	table.gossip.entries[name] = queuedName{from}
	table.gossip.schedule(now, table.config.HeartbeatInterval)
}

// passOnReport queues a report for all neighbours except the named one, which sent the report. An empty from excludes
// none.
func (table *Table) passOnReport(now int64, report Report, from string) {
	table.gossip.reports = append(table.gossip.reports, queuedReport{report, from})
	table.gossip.schedule(now, table.config.HeartbeatInterval)
}

// gossipBatch holds the entries and reports that one message passes on.
type gossipBatch struct {
	entries []queuedEntry
	reports []queuedReport
}

// take removes as many entries and reports from the queue as one message may have, and returns them. If more than
// maxQueuedReports reports remain in the queue, it drops the oldest of them.
func (queue *gossipQueue) take(table *Table) gossipBatch {
	var batch gossipBatch
	names := slices.Sorted(maps.Keys(queue.entries))
	for _, name := range names[:min(len(names), MaxPerMessage)] {
		queued := queue.entries[name]
		delete(queue.entries, name)
		if entry, ok := table.announcementOf(name); ok {
			batch.entries = append(batch.entries, queuedEntry{entry, queued.from})
		}
	}
	count := min(len(queue.reports), MaxPerMessage)
	batch.reports = queue.reports[:count:count]
	queue.reports = slices.Clone(queue.reports[count:])
	if tooMany := len(queue.reports) - maxQueuedReports; tooMany > 0 {
		queue.reports = queue.reports[tooMany:]
	}
	return batch
}

// announcementOf returns the entry under a name as it is passed on to others; ok is false if the name is unknown or no
// entry under it has arrived yet.
func (table *Table) announcementOf(name string) (Entry, bool) {
	if name == table.self.entry.Name {
		return table.self.entry, true
	}
	member := table.members.byName[name]
	if member == nil || member.State == Unheard {
		return Entry{}, false
	}
	return member.announcement(), true
}

// forPeer returns the batch as a message to a peer. It leaves out the entries and reports that came from the peer, and
// the peer's own reports.
func (batch gossipBatch) forPeer(name string) Gossip {
	var gossip Gossip
	for _, entry := range batch.entries {
		if entry.from != name {
			gossip.Entries = append(gossip.Entries, entry.Entry)
		}
	}
	for _, report := range batch.reports {
		if report.from != name && report.Observer != name {
			gossip.Reports = append(gossip.Reports, report.Report)
		}
	}
	return gossip
}

// sendGossip takes one batch from the queue and returns a message with it for each link. What remains is scheduled to
// be sent later.
func (table *Table) sendGossip(now int64) []Send {
	batch := table.gossip.take(table)
	table.gossip.sendAt = 0
	if len(table.gossip.entries) > 0 || len(table.gossip.reports) > 0 {
		table.gossip.schedule(now, table.config.HeartbeatInterval)
	}
	var sends []Send
	for _, name := range table.links.sortedNames() {
		if gossip := batch.forPeer(name); len(gossip.Entries)+len(gossip.Reports) > 0 {
			sends = append(sends, Send{To: name, Gossip: gossip})
		}
	}
	return sends
}
