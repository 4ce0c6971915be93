// Package snapshot stores snapshots of a router's state in a file, for its next start. A snapshot is written to a
// temporary file, synced to the disk and renamed, so that the file is always complete: either the new one or the
// previous one. A digest reveals a damaged file. Package restore (internal/lifecycle/restore) decides which parts
// of a snapshot are used.
package snapshot

import (
	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
)

// MaxObjects bounds the objects whose request rates are stored.
const MaxObjects = 10_000

// Snapshot is the state of a router that is stored. Fields are stored as CBOR under their names, or those of their
// tags. These must not change, so that other versions of the program can read them.
type Snapshot struct {
	restore.Header
	Position  int64                  // of the last watch event of the discovery service; 0: there was none
	Digest    uint64                 // of that event's text
	Endpoints []router.EndpointEntry `cbor:"Members"`
	Memory    control.Snapshot
}
