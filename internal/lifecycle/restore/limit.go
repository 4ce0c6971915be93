package restore

import "fmt"

// Reason is why not all of a snapshot may be used.
type Reason int

// The reasons.
const (
	OtherVersion  Reason = iota // of the format
	OtherRouter                 // another router wrote it
	OtherSettings               // it was learned under other settings
	InFuture                    // it was taken later than now, by the wall clock
	Old
)

var reasonNames = [...]string{
	OtherVersion:  "other version",
	OtherRouter:   "other router",
	OtherSettings: "other settings",
	InFuture:      "in the future",
	Old:           "old",
}

func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason %d", int(r))
	}
	return reasonNames[r]
}

// LimitError says why not all of a snapshot may be used. Its text is part of a log line that docs/oncall.md
// explains.
type LimitError struct {
	Reason Reason
	Own    Header // what the router that reads would write
	Stored Header // what the snapshot says
	Age    int64  // of the snapshot, ns; negative if it was taken in the future
}

func (e *LimitError) Error() string {
	switch e.Reason {
	case OtherVersion:
		if e.Stored.Version > e.Own.Version {
			return fmt.Sprintf("it is of version %d, this program reads %d", e.Stored.Version, e.Own.Version)
		}
		return fmt.Sprintf("it is of version %d, before this program's %d", e.Stored.Version, e.Own.Version)
	case OtherRouter:
		return fmt.Sprintf("it is router %q's", e.Stored.Router)
	case OtherSettings:
		return "it was learned under other settings"
	case InFuture:
		return fmt.Sprintf("it is of %d s in the future", -e.Age/second)
	case Old:
		return fmt.Sprintf("it is %d s old", e.Age/second)
	}
	return e.Reason.String()
}
