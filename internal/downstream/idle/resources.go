package idle

import (
	"errors"
	"fmt"
	"time"
)

const (
	// reservedDescriptors is the number of descriptors kept for the listener, the connection to the discovery
	// service, files, and connections to other instances.
	reservedDescriptors = 64

	// bytesPerIdleConnection is the memory reckoned for each idle connection, in bytes. It includes a margin over the
	// measurement in docs/idle.md.
	bytesPerIdleConnection = 256

	// idleMemoryShare is the share of the process's memory that idle connections may take, from 0 to 1.
	idleMemoryShare = 0.25

	// maxIdleTimeout is the longest idle timeout that a policy may set, in ns.
	maxIdleTimeout = int64(7 * 24 * time.Hour)
)

// Resources are a process's descriptors and memory, which bound the number of its connections.
type Resources struct {
	Descriptors         int   // total of the process
	UpstreamConnections int   // descriptors reserved for the connections to endpoints
	MemoryBytes         int64 // memory that the process may use
}

// MaxConnections returns how many client connections can be open at once with the descriptors that are not reserved
// for other uses.
func (r Resources) MaxConnections() int {
	return max(0, r.Descriptors-r.UpstreamConnections-reservedDescriptors)
}

// DescriptorError means that the process has too few descriptors for the connections that the configuration
// allows.
type DescriptorError struct {
	Connections int
	Resources   Resources
}

func (e *DescriptorError) Error() string {
	return fmt.Sprintf("%d connections need too many descriptors: of %d, %d are reserved for connections to endpoints"+
		" and %d for other uses, which leaves %d",
		e.Connections, e.Resources.Descriptors, e.Resources.UpstreamConnections, reservedDescriptors,
		e.Resources.MaxConnections())
}

// MemoryError means that the process has too little memory for the connections that the configuration allows.
type MemoryError struct {
	Connections    int
	NeededBytes    int64
	AvailableBytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d connections of %d bytes each need %d KB of memory, but only %d KB are available for them",
		e.Connections, bytesPerIdleConnection, e.NeededBytes>>10, e.AvailableBytes>>10)
}

// PolicyError means that a policy passed to Check exceeds a limit; Err says which.
type PolicyError struct {
	Index int // index of the policy in the policies passed to Check
	Err   error
}

func (e *PolicyError) Error() string { return e.Err.Error() }

// Unwrap returns Err, a *LimitError or an error that wraps ErrIdleTimeoutTooLong.
func (e *PolicyError) Unwrap() error { return e.Err }

// LimitError means that a connection limit of a policy is above the limit for all connections.
type LimitError struct {
	Scope string // what the limit applies to: "a network" or "a client"
	Limit int    // connection limit that the policy sets
	Total int    // limit for all connections of the process
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("limit of %d connections for %s exceeds the limit of %d for all connections",
		e.Limit, e.Scope, e.Total)
}

// ErrIdleTimeoutTooLong is returned for a policy whose idle timeout is longer than maxIdleTimeout.
var ErrIdleTimeoutTooLong = errors.New("idle timeout is too long")

// Check checks whether the resources suffice for maxConnections connections and whether each policy is within
// the limits. The error is a *DescriptorError, a *MemoryError or, for the first policy that exceeds a limit, a
// *PolicyError.
func (r Resources) Check(maxConnections int, policies []Policy) error {
	if maxConnections > r.MaxConnections() {
		return &DescriptorError{Connections: maxConnections, Resources: r}
	}
	needed := int64(maxConnections) * bytesPerIdleConnection
	available := int64(idleMemoryShare * float64(r.MemoryBytes))
	if needed > available {
		return &MemoryError{Connections: maxConnections, NeededBytes: needed, AvailableBytes: available}
	}
	for i, policy := range policies {
		if err := policy.check(maxConnections); err != nil {
			return &PolicyError{Index: i, Err: err}
		}
	}
	return nil
}

// check checks the policy against total, the limit for all connections, and against maxIdleTimeout.
func (p Policy) check(total int) error {
	switch {
	case p.MaxConnections > total:
		return &LimitError{Scope: "a network", Limit: p.MaxConnections, Total: total}
	case p.MaxPerClient > total:
		return &LimitError{Scope: "a client", Limit: p.MaxPerClient, Total: total}
	case p.IdleTimeout > maxIdleTimeout:
		return fmt.Errorf("%w: %v, at most %v is allowed",
			ErrIdleTimeoutTooLong, time.Duration(p.IdleTimeout), time.Duration(maxIdleTimeout))
	}
	return nil
}
