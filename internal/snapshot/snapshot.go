// Package snapshot stores what a router has learned on a disk, for its next start. A snapshot is written to a
// temporary file, synced to the disk and renamed, so that the file is either the complete new one or the one
// before; a digest reveals a damaged one. internal/lifecycle/restore decides what of a snapshot is used.
package snapshot

import (
	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
)

// MaxObjects is how many objects of the rate table are stored.
const MaxObjects = 10_000

// Snapshot is what a router has learned. Its fields are stored by CBOR under their names, or those of their
// tags, so that other versions read them.
type Snapshot struct {
	restore.Header
	Position  int64                  // of the last watch event of the discovery service; 0: no endpoint list is known
	Digest    uint64                 // of that event's text
	Endpoints []router.EndpointEntry `cbor:"Members"`
	Memory    control.Snapshot
}
