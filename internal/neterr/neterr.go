// Package neterr tells errors of this machine's own (no descriptors, memory or ports left) from what the other
// side of a connection did. docs/endings.md, "System calls", lists the errors call by call, after the Linux
// manual pages.
package neterr

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// localErrors are the errors of socket(2), connect(2), accept(2), fcntl(2) and epoll_ctl(2) that say nothing of
// the other side.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, // no descriptor, in this process or on this machine
	syscall.ENOMEM, syscall.ENOBUFS, // no memory in the kernel
	syscall.ENOSPC,                            // no watch left for an epoll set
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, // no local port
	syscall.EACCES, syscall.EPERM, // a local firewall
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR,
}

// transientErrors are those after which the same read or write may go on.
var transientErrors = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR}

// exhaustedErrors are those of localErrors that pass once descriptors, memory or watches are released.
var exhaustedErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOSPC}

// endErrors are those of reads, writes and peeks of a connection that has ended.
var endErrors = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EBADF, syscall.ENOTSOCK,
}

// IsExhausted tells whether this machine is out of something that a retry may find: descriptors, memory,
// watches.
func IsExhausted(err error) bool { return isOneOf(err, exhaustedErrors) }

// IsEnd tells whether an error proves that a connection has ended in both directions. What was written before
// may have been read.
func IsEnd(err error) bool { return isOneOf(err, endErrors) || errors.Is(err, net.ErrClosed) }

// IsLocal tells whether an attempt to open, accept, duplicate or watch a connection failed on this machine:
// nothing was sent, and the other side is not at fault. A name server that does not answer says nothing of the
// named host either.
func IsLocal(err error) bool {
	if lookup, ok := errors.AsType[*net.DNSError](err); ok {
		return !lookup.IsNotFound
	}
	return isOneOf(err, localErrors)
}

// IsTransient tells whether a read or a write failed for a reason that passes and leaves the connection as it
// was.
func IsTransient(err error) bool { return isOneOf(err, transientErrors) }

func isOneOf(err error, errnos []syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}
