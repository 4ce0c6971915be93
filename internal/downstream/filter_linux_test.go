package downstream

import (
	"context"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// refusal is one system call that the filter refuses, and how.
type refusal struct {
	call  uintptr
	errno unix.Errno
}

// bench is what the full fleet's bench refuses (docs/fleet-days.md).
var bench = []refusal{{unix.SYS_IO_URING_SETUP, unix.ENOSYS}, {unix.SYS_SPLICE, unix.EINVAL},
	{unix.SYS_SENDFILE, unix.ENOSYS}, {unix.SYS_EXECVE, unix.ENOSYS}, {unix.SYS_CLONE3, unix.ENOSYS}}

// wakesByItsOwn is the bench's filter, with no second descriptor at waking: what reads and writes then is another type.
const wakesByItsOwn = "as on the bench, woken by its own descriptor"

// filters are what the front is tried under: whether idle connections rest there, and what is refused.
var filters = map[string]struct {
	rests   bool
	refused []refusal
}{
	"as on the bench":                 {true, bench},
	wakesByItsOwn:                     {true, bench},
	"no set of descriptors":           {false, append([]refusal{{unix.SYS_EPOLL_CREATE1, unix.ENOSYS}}, bench...)},
	"no second descriptor":            {false, append([]refusal{{unix.SYS_FCNTL, unix.EINVAL}}, bench...)},
	"no more descriptors in the sets": {false, nil}, // injected: the runtime needs the call itself
}

// refuse has the system refuse calls to this process, all threads alike.
func refuse(calls []refusal) error {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}} // the call's number
	for _, c := range calls {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(c.call)},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ERRNO | uint32(c.errno)})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	whole := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&whole)))
	if errno != 0 {
		return errno
	}
	return nil
}

const filterName = "TEALPATH_TEST_FILTER"

// TestUnderFilters has this test's program run again under each filter: a filter can't be taken off.
func TestUnderFilters(t *testing.T) {
	for name := range filters {
		t.Run(name, func(t *testing.T) {
			child := exec.Command(os.Args[0], "-test.run=^TestUnderThisFilter$", "-test.v")
			child.Env = append(os.Environ(), filterName+"="+name)
			out, err := child.CombinedOutput()
			if strings.Contains(string(out), "--- SKIP") {
				t.Skip("this system sets no filters")
			}
			if err != nil || !strings.Contains(string(out), "--- PASS") {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

// Connections that rest, or can't, are answered all the same. Where the system refused a second descriptor each idle
// connection was closed after a second; where there was no set it was not said.
func TestUnderThisFilter(t *testing.T) {
	name := os.Getenv(filterName)
	if name == "" {
		t.Skip("run by TestUnderFilters")
	}
	by := filters[name]
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the runtime's own set is made here, before the filter
	if err != nil {
		t.Fatal(err)
	}
	if err := refuse(by.refused); err != nil {
		t.Skip(err)
	}
	var mu sync.Mutex
	var emitted []logevent.Event
	limits := keeping(100, time.Hour)
	if name == wakesByItsOwn {
		limits.SystemCalls = failingCalls("connect", unix.EMFILE, func() bool { return true })
	}
	f := New(listener, limits, func(router.Event) {}, func(event logevent.Event) {
		mu.Lock()
		defer mu.Unlock()
		emitted = append(emitted, event)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Serve(ctx)
	conns := []net.Conn{dial(t, f), dial(t, f), dial(t, f)}
	for _, c := range conns {
		health(t, c)
	}
	if name == "no more descriptors in the sets" {
		until(t, "some rest", func() bool { return f.activeConnections() == 0 })
		f.idle.disableSuspend(unix.ENOSYS) // as the watch finds
		f.resumeAll(ctx)
		if f.activeConnections() != len(conns) {
			t.Errorf("%d of %d are awake", f.activeConnections(), len(conns))
		}
	}
	if by.rests {
		until(t, "all rest", func() bool { return f.activeConnections() == 0 })
	} else {
		time.Sleep(2500 * time.Millisecond) // as long as they rest after, twice over
		if f.activeConnections() != len(conns) {
			t.Errorf("%d of %d hold their buffers", f.activeConnections(), len(conns))
		}
	}
	for _, c := range conns {
		health(t, c)
	}
	mu.Lock()
	defer mu.Unlock()
	want := 1
	if by.rests {
		want = 0
	}
	if len(emitted) != want {
		t.Fatalf("emitted %+v, want %d events", emitted, want)
	}
	for _, event := range emitted {
		if disabled, ok := event.(SuspendDisabled); !ok || disabled.Cause == "" {
			t.Errorf("emitted %+v", event)
		}
	}
}
