package report

// BoundError reports that an experiment's result breaks a bound that a design note sets.
type BoundError struct {
	Page   string // path of the design note, such as docs/duties.md
	Detail string // names or values of the broken bounds; may be empty
}

// Error names the design note, followed by the detail if there is one.
func (e *BoundError) Error() string {
	text := "a bound of " + e.Page + " is broken"
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
