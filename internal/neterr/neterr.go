// Package neterr classifies network errors. In particular, it distinguishes local errors, such as a lack of
// descriptors, memory or ports, from those caused by the peer. docs/endings.md, "System calls", lists the errors for
// each system call, according to the Linux manual pages.
package neterr

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// localErrors are the errors of socket(2), connect(2), accept(2), fcntl(2) and epoll_ctl(2) that say nothing about the
// peer.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, // no descriptor left, in this process or on this machine
	syscall.ENOMEM, syscall.ENOBUFS, // no kernel memory left
	syscall.ENOSPC,                            // the user's limit of epoll watches is reached
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, // no local port available
	syscall.EACCES, syscall.EPERM, // denied by a local firewall
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR,
}

// transientErrors are the errors of a read or write after which the connection is intact, so that the read or write
// can be retried.
var transientErrors = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR}

// exhaustedErrors are the local errors that no longer occur once descriptors, memory or epoll watches have been
// released.
var exhaustedErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOSPC}

// endErrors are the errors of a read, write or peek on a connection that has ended.
var endErrors = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EBADF, syscall.ENOTSOCK,
}

// IsExhausted reports whether err means that this machine has run out of descriptors, kernel memory or epoll watches.
// A later retry may succeed.
func IsExhausted(err error) bool { return isOneOf(err, exhaustedErrors) }

// IsConnectionEnded reports whether err proves that a connection has ended in both directions. The peer may still
// have read what was written before.
func IsConnectionEnded(err error) bool {
	return isOneOf(err, endErrors) || errors.Is(err, net.ErrClosed)
}

// IsLocal reports whether an attempt to open, accept, duplicate or watch a connection failed on this machine: nothing
// was sent, and the peer is not at fault. A name server that does not answer counts as local too, because that says
// nothing about the named host.
func IsLocal(err error) bool {
	if lookup, ok := errors.AsType[*net.DNSError](err); ok {
		return !lookup.IsNotFound
	}
	return isOneOf(err, localErrors)
}

// IsTransient reports whether a read or write failed for a temporary reason and left the connection intact, so that it
// can be retried.
func IsTransient(err error) bool { return isOneOf(err, transientErrors) }

func isOneOf(err error, errnos []syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}
