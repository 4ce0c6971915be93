package idle

import (
	"errors"
	"fmt"
	"time"
)

const (
	// reservedDescriptors are for the listener, the connection to the discovery service, files and connections
	// to other instances.
	reservedDescriptors = 64

	// bytesPerIdle is the memory of an idle connection, with a margin over what docs/idle.md measured.
	bytesPerIdle = 256

	// idleMemoryShare is the share of the process's memory that idle connections may take.
	idleMemoryShare = 0.25

	// maxIdleTimeout is the longest that a policy may keep an idle connection, in ns.
	maxIdleTimeout = int64(7 * 24 * time.Hour)
)

// Resources are what a process has for connections.
type Resources struct {
	Descriptors         int   // in all
	UpstreamConnections int   // descriptors that are kept for connections to endpoints
	MemoryBytes         int64 // in all
}

// MaxConnections returns how many client connections the descriptors suffice for.
func (r Resources) MaxConnections() int {
	return max(0, r.Descriptors-r.UpstreamConnections-reservedDescriptors)
}

// DescriptorError says that there are too few descriptors for the connections that a configuration allows.
type DescriptorError struct {
	Connections int
	Resources   Resources
}

func (e *DescriptorError) Error() string {
	return fmt.Sprintf("%d connections: %d descriptors less %d for links and %d for the rest leave %d",
		e.Connections, e.Resources.Descriptors, e.Resources.UpstreamConnections, reservedDescriptors,
		e.Resources.MaxConnections())
}

// MemoryError says that there is too little memory for the connections that a configuration allows.
type MemoryError struct {
	Connections    int
	NeededBytes    int64
	AvailableBytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d connections of %d bytes each take %d KB: %d KB of the memory are for them",
		e.Connections, bytesPerIdle, e.NeededBytes>>10, e.AvailableBytes>>10)
}

// PolicyError says that a policy cannot be met.
type PolicyError struct {
	Index int // of the policy
	Err   error
}

func (e *PolicyError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with the policy.
func (e *PolicyError) Unwrap() error { return e.Err }

// LimitError says that a limit of a policy is above the limit for all connections.
type LimitError struct {
	Scope string // whose limit it is: a network or a client
	Limit int
	Total int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d connections of %s are more than the %d in all", e.Limit, e.Scope, e.Total)
}

// ErrIdleTimeoutTooLong says that a policy keeps idle connections for longer than maxIdleTimeout.
var ErrIdleTimeoutTooLong = errors.New("idle for more than a week")

// Check says whether the resources suffice for so many connections and whether each policy is possible. The
// error is a *DescriptorError, a *MemoryError or, for the first policy that is not possible, a *PolicyError.
func (r Resources) Check(maxConnections int, policies []Policy) error {
	if maxConnections > r.MaxConnections() {
		return &DescriptorError{Connections: maxConnections, Resources: r}
	}
	needed := int64(maxConnections) * bytesPerIdle
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

// check says whether the policy is possible where there may be so many connections in all.
func (p Policy) check(total int) error {
	switch {
	case p.MaxConnections > total:
		return &LimitError{Scope: "a network", Limit: p.MaxConnections, Total: total}
	case p.MaxPerClient > total:
		return &LimitError{Scope: "a client", Limit: p.MaxPerClient, Total: total}
	case p.IdleTimeout > maxIdleTimeout:
		return ErrIdleTimeoutTooLong
	}
	return nil
}
