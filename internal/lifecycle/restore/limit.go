package restore

import "fmt"

// Reason is a reason why only a part of a snapshot, or nothing of it, may be used.
type Reason int

// Reasons, each about the snapshot that was read.
const (
	OtherVersion  Reason = iota // the format of the snapshot has another version than FormatVersion
	OtherRouter                 // another router wrote the snapshot
	OtherSettings               // the snapshot was taken under other settings
	InFuture                    // the time of the snapshot is over maxClockStep ahead of the wall clock
	TooOld                      // the age of the snapshot is over maxRateAge or maxAge
)

var reasonNames = [...]string{
	OtherVersion:  "other version",
	OtherRouter:   "other router",
	OtherSettings: "other settings",
	InFuture:      "in the future",
	TooOld:        "old",
}

func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason %d", int(r))
	}
	return reasonNames[r]
}

// LimitError reports why only a part of a snapshot, or nothing of it, may be used. Its text is the cause in a log line
// that docs/oncall.md explains.
type LimitError struct {
	Reason Reason
	Own    Header // header that the router itself would write
	Stored Header // header of the snapshot
	Age    int64  // age of the snapshot, ns; negative if it was taken in the future
}

func (e *LimitError) Error() string {
	switch e.Reason {
	case OtherVersion:
		if e.Stored.Version > e.Own.Version {
			return fmt.Sprintf("it has version %d, this program reads version %d", e.Stored.Version, e.Own.Version)
		}
		return fmt.Sprintf("it has version %d, older than version %d that this program reads",
			e.Stored.Version, e.Own.Version)
	case OtherRouter:
		return fmt.Sprintf("it was written by router %q, this is router %q", e.Stored.Router, e.Own.Router)
	case OtherSettings:
		return fmt.Sprintf("it was taken under other settings: their digest is %#x, that of the present ones is %#x",
			e.Stored.SettingsDigest, e.Own.SettingsDigest)
	case InFuture:
		return fmt.Sprintf("it was taken %d s in the future, at most %d s are allowed",
			-e.Age/second, maxClockStep/second)
	case TooOld:
		return fmt.Sprintf("it is %d s old, the limit is %d s for request rates and %d s for all else",
			e.Age/second, maxRateAge/second, maxAge/second)
	}
	return e.Reason.String()
}
