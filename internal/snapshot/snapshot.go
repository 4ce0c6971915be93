// Package snapshot stores on a disk what a router knows, for its next start. A snapshot is written to a temporary file, forced to the
// disk and renamed, so that the file is whole or the one before; a digest shows one that is not whole. What of a snapshot is used,
// internal/lifecycle/restore decides.
package snapshot

import (
	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
)

// MaxObjects is how many objects of the rate table are stored.
const MaxObjects = 10_000

// Snapshot is what a router knows. Its fields are stored by CBOR under their names, or those of their tags, so that other versions
// read them.
type Snapshot struct {
	restore.Header
	Position  int64                  // of the last watch event of the discovery service; 0: no endpoint list is known
	Digest    uint64                 // of that event's text
	Endpoints []router.EndpointEntry `cbor:"Members"`
	Memory    control.Snapshot
}
