package poller

// Content is what is on a connection to be read.
type Content int

// The contents. Unknown is an error that proves nothing: there may be a request.
const (
	Nothing Content = iota
	Bytes
	Ended
	Unknown
)
