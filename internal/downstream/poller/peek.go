package poller

// PeekResult is what is on a connection to be read.
type PeekResult int

// The results. Undetermined is an error that proves nothing: there may be a request.
const (
	NoData PeekResult = iota
	Data
	EndOfStream
	Undetermined
)
