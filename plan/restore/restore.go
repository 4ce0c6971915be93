// Package restore decides what a router that starts may use of what it knew before: of a snapshot on its disk. It does no
// input or output, reads no clock. docs/coldstart.md, "What was known before", has the rules and why.
//
// All times are Unix ns by the wall clock, read when the snapshot was written and when the process that reads it began: two
// processes have no monotonic axis in common. docs/architecture.md, "Time", has what a step between the two does.
package restore

import "fmt"

const second = int64(1e9)

const (
	// FormatVersion is that of the snapshots that this program writes and reads.
	FormatVersion = 1

	// ratesFor is for how long what was asked for so often is taken to be so still: a restart, not a night.
	ratesFor = 60 * second

	// beliefsFor is for how long sending times, and what was asked for and purged at all, tell anything.
	beliefsFor = 3600 * second

	// ahead is by how much a snapshot may be of the future: clocks of one machine step a little. Such a one counts as new.
	ahead = 5 * second
)

// Header says what a snapshot is of.
type Header struct {
	Version        int
	Router         string
	SettingsDigest uint64 `cbor:"Deployment"` // digest of the settings that it was learned under
	TakenAt        int64  `cbor:"Taken"`
}

// Scope is how much of a snapshot may be used.
type Scope int

// The uses. WithoutRates leaves the rates out. The list of members is never used by itself: see Confirm.
const (
	None Scope = iota
	WithoutRates
	All
)

func (u Scope) String() string { return []string{"nothing", "beliefs", "whole"}[u] }

// Assess says how much of a snapshot may be used by a router that is own, and why not all of it.
func Assess(now int64, own, kept Header) (Scope, string) {
	age := now - kept.TakenAt
	switch {
	case kept.Version > own.Version:
		return None, fmt.Sprintf("it is of version %d, this program reads %d", kept.Version, own.Version)
	case kept.Version < own.Version:
		return None, fmt.Sprintf("it is of version %d, before this program's %d", kept.Version, own.Version)
	case kept.Router != own.Router:
		return None, fmt.Sprintf("it is router %q's", kept.Router)
	case kept.SettingsDigest != own.SettingsDigest:
		return None, "it was learned under other settings"
	case age < -ahead:
		return None, fmt.Sprintf("it is of %d s in the future", -age/second)
	case age > beliefsFor:
		return None, fmt.Sprintf("it is %d s old", age/second)
	case age > ratesFor:
		return WithoutRates, fmt.Sprintf("it is %d s old", age/second)
	}
	return All, ""
}

// Outcome is what becomes of a list that was known before.
type Outcome int

// The answers. Denied: the service is another, or counts anew; the whole list is to be asked for.
const (
	Pending Outcome = iota
	Confirmed
	Denied
)

// ListConfirmation decides whether a list known before is still the one in force. The service is asked for what is behind the last
// event but one: if it tells the last one again, to the letter, it is the same that told the list, nothing it has told since
// is missing, and what follows comes after. A service that counts anew for each start of a router, as the platform's does,
// tells something else under that number; silence or a comment proves nothing.
type ListConfirmation struct {
	Position int64  // of the last event
	Digest   uint64 // of its text
	done     bool
}

// ResumeAfter is the event behind which to ask.
func (c *ListConfirmation) ResumeAfter() int64 { return c.Position - 1 }

// ObserveEvent takes the first event that comes.
func (c *ListConfirmation) ObserveEvent(position int64, digest uint64) Outcome {
	if c == nil || c.done {
		return Pending
	}
	if c.done = true; position == c.Position && digest == c.Digest {
		return Confirmed
	}
	return Denied
}

// ObserveComment takes a comment: one that comes before any event says that there is no event behind that asked for.
func (c *ListConfirmation) ObserveComment() Outcome {
	if c == nil || c.done {
		return Pending
	}
	c.done = true
	return Denied
}
