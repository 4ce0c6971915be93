package neterr

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

func dialError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

func TestIsLocal(t *testing.T) {
	for err, want := range map[error]bool{
		dialError("socket", syscall.EMFILE):         true,
		dialError("socket", syscall.ENFILE):         true,
		dialError("socket", syscall.ENOBUFS):        true,
		dialError("socket", syscall.ENOMEM):         true,
		dialError("connect", syscall.EADDRNOTAVAIL): true,
		dialError("connect", syscall.EAGAIN):        true,
		dialError("connect", syscall.EPERM):         true,
		dialError("epoll_ctl", syscall.ENOSPC):      true,
		dialError("connect", syscall.ECONNREFUSED):  false,
		dialError("connect", syscall.ETIMEDOUT):     false,
		dialError("connect", syscall.EHOSTUNREACH):  false,
		dialError("connect", syscall.ENETUNREACH):   false,
		os.ErrDeadlineExceeded:                      false,
		io.EOF:                                      false,
		&net.DNSError{IsTimeout: true}:              true,
		&net.DNSError{IsNotFound: true}:             false,
	} {
		if IsLocal(err) != want || IsLocal(fmt.Errorf("wrapped: %w", err)) != want {
			t.Errorf("IsLocal(%v), plain or wrapped, is not %t", err, want)
		}
	}
	if IsLocal(nil) || IsTransient(nil) {
		t.Error("IsLocal(nil) or IsTransient(nil) is true")
	}
}

// flakyBuffer is a buffer whose reads and writes alternately fail with the error fault and transfer one byte.
type flakyBuffer struct {
	bytes.Buffer
	calls int
	fault error
}

func (f *flakyBuffer) next() error {
	if f.calls++; f.calls%2 == 1 {
		return f.fault
	}
	return nil
}

func (f *flakyBuffer) Read(p []byte) (int, error) {
	if err := f.next(); err != nil {
		return 0, err
	}
	return f.Buffer.Read(p[:1])
}

func (f *flakyBuffer) Write(p []byte) (int, error) {
	if err := f.next(); err != nil {
		return 0, err
	}
	n, _ := f.Buffer.Write(p[:min(1, len(p))])
	if n < len(p) {
		return n, syscall.EINTR // short write: only one byte of p was written
	}
	return n, nil
}

func TestRetry(t *testing.T) {
	for _, errno := range transientErrors {
		f := &flakyBuffer{fault: os.NewSyscallError("write", errno)}
		if n, err := Write(f, []byte("abc")); n != 3 || err != nil {
			t.Fatalf("%v: %d bytes written, error %v, want 3, none", errno, n, err)
		}
		if got, err := io.ReadAll(Reader{f}); string(got) != "abc" || err != nil {
			t.Errorf("%v: read %q, error %v, want abc, none", errno, got, err)
		}
	}
	for _, permanent := range []error{
		syscall.ECONNRESET,
		syscall.EPIPE,
		syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH,
		net.ErrClosed,
	} {
		f := &flakyBuffer{fault: permanent}
		if _, err := Write(f, []byte("abc")); !errors.Is(err, permanent) || f.calls != 1 {
			t.Errorf("error %v after %d calls, want %v after 1", err, f.calls, permanent)
		}
	}
}

// failingCloser returns an error from each call of Close, and counts the calls.
type failingCloser struct{ closes int }

func (c *failingCloser) Close() error {
	c.closes++
	return net.ErrClosed
}

func TestCloseIgnoresTheError(t *testing.T) {
	var closer failingCloser
	if Close(&closer); closer.closes != 1 {
		t.Errorf("closed %d times, want once", closer.closes)
	}
}
