package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digests caches digests of the entries of this instance and of all members believed alive: one of all these entries,
// and one for each bucket of them. They are valid for one revision of the table.
type digests struct {
	revision uint64
	all      uint64
	buckets  []uint64
}

// of returns the digest of all entries and those of the buckets, computed again if the table has changed since the
// last call.
func (digests *digests) of(table *Table) (all uint64, buckets []uint64) {
	if digests.buckets != nil && digests.revision == table.revision {
		return digests.all, digests.buckets
	}
	digests.revision, digests.all = table.revision, 0
	digests.buckets = make([]uint64, DigestBuckets)
	digests.add(table.self.entry)
	for _, member := range table.members.byName {
		if member.State == Alive {
			digests.add(member.Entry)
		}
	}
	return digests.all, digests.buckets
}

func (digests *digests) add(entry Entry) {
	if entry.Dead || entry.Leaving {
		return
	}
	hash := hashEntry(entry)
	digests.all ^= hash
	digests.buckets[bucketOf(entry.Name)] ^= hash
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// hashEntry returns a hash of the fields that identify an entry: name, start time, incarnation and version.
func hashEntry(entry Entry) uint64 {
	key := make([]byte, 0, 24+len(entry.Name))
	for _, number := range []uint64{entry.Start, entry.Incarnation, entry.Version} {
		key = binary.LittleEndian.AppendUint64(key, number)
	}
	return xxhash.Sum64(append(key, entry.Name...))
}

// answerBuckets answers another instance's bucket digests with the entries of the buckets whose digests differ from
// this instance's. It starts at a random bucket and sends as many entries as one message may have. They may include
// the asker's own entry: if the asker's wall clock was set back, it learns from that entry that it has to raise its
// start time.
func (table *Table) answerBuckets(to string, theirs []uint64) []Send {
	_, buckets := table.digests.of(table)
	names := map[int][]string{}
	for _, name := range table.members.sortedNames() {
		bucket := bucketOf(name)
		names[bucket] = append(names[bucket], name)
	}
	var entries []Entry
	add := func(name string) {
		if entry, ok := table.announcementOf(name); ok && len(entries) < MaxPerMessage {
			entries = append(entries, entry)
		}
	}
	first := table.rng.IntN(DigestBuckets)
	for i := range DigestBuckets {
		bucket := (first + i) % DigestBuckets
		if buckets[bucket] == theirs[bucket] {
			continue
		}
		if bucket == bucketOf(table.self.entry.Name) {
			add(table.self.entry.Name)
		}
		for _, name := range names[bucket] {
			add(name)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	return []Send{{To: to, Gossip: Gossip{Entries: entries}}}
}
