package report

// BoundError reports that an experiment's result breaks a bound of a design note.
type BoundError struct {
	Page   string // path of the note
	Detail string // names of the broken bounds; may be empty
}

// Error implements error.
func (e *BoundError) Error() string {
	text := "a bound of " + e.Page + " is broken"
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
