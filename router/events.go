package router

import "tealpath/control"

// ClientID names a client's connection, LinkID a connection to a cache, a parent or the origin. Both are never
// used again.
type (
	ClientID uint64
	LinkID   uint64
)

// Event is something that came in from outside. Stamps of other machines are Unix ns by their clocks; all other times are ns on
// the axis of Handle.
type Event any

// Requested is a client's request that has come whole.
type Requested struct {
	Client  ClientID
	Seq     int32
	Arrived int64 // the earliest that its first byte can have come; 0: with the event
	Fields  map[string]string
	Body    []byte
}

// Cancelled tells that a client has stopped waiting for one request.
type Cancelled struct {
	Client ClientID
	Seq    int32
}

// Left tells that a client's connection has ended.
type Left struct{ Client ClientID }

// HalfClosed tells that a client has closed its side of a connection. It may still read: what is in flight for it is answered,
// but nothing more is sent for it.
type HalfClosed struct{ Client ClientID }

// Up tells that a link that was dialled stands.
type Up struct{ Link LinkID }

// Cause says whose fault the end of a link is.
type Cause int

// The causes. Local is an error of this machine's own, as a want of descriptors: it says nothing of the member.
const (
	Remote Cause = iota
	Local
)

// Down tells that a link has ended or never came up. Unsent are the requests that were not wholly written; Why is an error in
// words, where there was one.
type Down struct {
	Link   LinkID
	Unsent []string
	Cause  Cause
	Why    string
}

// Withdrawn tells that nothing of a request was written to its link, and nothing will be: it was withdrawn, or the time in
// which it could be written has passed.
type Withdrawn struct {
	Link LinkID
	ID   string
}

// Answered is an answer from a cache, a parent or the origin.
type Answered struct {
	Link   LinkID
	ID     string
	Result control.Result
	Same   bool  // the client's copy is the one
	Bare   bool  // Faulty for nothing but this: it does not say which copy it is, and from when
	Issued int64 // when the origin gave out the copy, Unix ns by its clock; 0: it is no copy
	Body   []byte
	Note   int64
	Waited int64
	Load   []float64
}

// Listing is one line of the list of members.
type Listing struct {
	Instance string
	Address  string
	control.Endpoint
}

// Listed is the list of members, or changes to it.
type Listed struct {
	Whole bool
	Lines []Listing
}

// Purged tells of a purge of one object or, with no object, of a group.
type Purged struct {
	Object string
	Group  int64
	When   int64 // its stamp by the journal service
}

// Probed tells what a probe of a member found, by this instance or by another that shares the duty.
type Probed struct {
	Instance string
	Good     bool
	Load     []float64
}

// Due tells that the time that SetTimer named has come.
type Due struct{}

// Leaving tells that this router is to end: all must be answered by then.
type Leaving struct{ By int64 }

// Effect is what the reducer wants done outside.
type Effect any

// Kind says what an answer to a client is.
type Kind int

// The kinds of answers.
const (
	Settled Kind = iota
	Dismissed
	Aborted
	Unusable // the request cannot be understood; Why says what is wrong
)

// Answer is the final answer to a client's request.
type Answer struct {
	Client ClientID
	Seq    int32
	Kind   Kind
	Body   []byte
	Same   bool  // the client's copy holds
	Later  int64 // how long the client should stay away
	Why    string
}

// Dial wants a link to a member.
type Dial struct {
	Link    LinkID
	Address string
	Within  int64
}

// Send wants a request written to a link, unless that can't begin before a time.
type Send struct {
	Link    LinkID
	Request Request
	Before  int64
}

// Request is what a cache, a parent or the origin is asked. The strings and the body are the client's own.
type Request struct {
	ID, Product, Object, Part string
	Body                      []byte
	Mine                      string // the tag of the client's copy
	Key                       string // the client's idempotency key, by which repeats are dropped
	Until                     int64  // when its answer must have come; what is left of that is told as it is written
	Source                    string // instance from which a miss is filled; empty is no fill
	Dispatch                  control.Attempt
}

// GiveUp wants a request on a link given up; if it is not yet written it is not to be.
type GiveUp struct {
	Link LinkID
	ID   string
}

// Withdraw wants a request on a link taken back, if nothing of it is written yet; Withdrawn tells so. Otherwise it stays.
type Withdraw struct {
	Link LinkID
	ID   string
}

// Close wants a link closed. No event follows.
type Close struct{ Link LinkID }

// SetTimer wants Due at a time; it takes the place of the one before.
type SetTimer struct{ At int64 }

// Log wants a line logged; Instance is the member that it is about, if there is one.
type Log struct{ Line, Instance string }
