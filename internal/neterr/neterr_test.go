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
			t.Errorf("%v: local %v", err, !want)
		}
	}
	if IsLocal(nil) || IsTransient(nil) {
		t.Error("success is taken for an error")
	}
}

// flaky fails each other call, and takes or gives one byte in between.
type flaky struct {
	bytes.Buffer
	calls int
	fault error
}

func (f *flaky) next() error {
	if f.calls++; f.calls%2 == 1 {
		return f.fault
	}
	return nil
}

func (f *flaky) Read(p []byte) (int, error) {
	if err := f.next(); err != nil {
		return 0, err
	}
	return f.Buffer.Read(p[:1])
}

func (f *flaky) Write(p []byte) (int, error) {
	if err := f.next(); err != nil {
		return 0, err
	}
	n, _ := f.Buffer.Write(p[:min(1, len(p))])
	if n < len(p) {
		return n, syscall.EINTR // a short write
	}
	return n, nil
}

func TestRetry(t *testing.T) {
	for _, errno := range transientErrors {
		f := &flaky{fault: os.NewSyscallError("write", errno)}
		if n, err := Write(f, []byte("abc")); n != 3 || err != nil {
			t.Fatalf("%v: %d written, %v", errno, n, err)
		}
		if got, err := io.ReadAll(Reader{f}); string(got) != "abc" || err != nil {
			t.Errorf("%v: %q, %v", errno, got, err)
		}
	}
	for _, final := range []error{
		syscall.ECONNRESET,
		syscall.EPIPE,
		syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH,
		net.ErrClosed,
	} {
		f := &flaky{fault: final}
		if _, err := Write(f, []byte("abc")); !errors.Is(err, final) || f.calls != 1 {
			t.Errorf("%v after %d calls", err, f.calls)
		}
	}
}

// failingCloser counts its closes, each of which fails.
type failingCloser struct{ closes int }

func (c *failingCloser) Close() error {
	c.closes++
	return net.ErrClosed
}

func TestCloseIgnoresTheError(t *testing.T) {
	var closer failingCloser
	if Close(&closer); closer.closes != 1 {
		t.Errorf("closed %d times", closer.closes)
	}
}
