// Package snapshot stores snapshots of a router's state in a file, for its next start. A snapshot is written to a
// temporary file, synced to the disk and renamed, so that the file is always complete: either the new one or the
// previous one. A digest detects damaged files. Package restore (internal/lifecycle/restore) decides which parts of a
// snapshot are used.
package snapshot

import (
	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
)

// MaxObjects is the largest number of objects whose request rates are stored.
const MaxObjects = 10_000

// Snapshot is the stored state of a router. Its fields are stored as CBOR under their Go names, or under the names in
// their tags. The stored names must not change, so that other versions of the program can read the file.
type Snapshot struct {
	restore.Header
	Position  int64                  // position of the last processed watch event; 0: there was none
	Digest    uint64                 // hash of the text of the event at Position
	Endpoints []router.EndpointEntry `cbor:"Members"`
	Memory    control.Snapshot
}
