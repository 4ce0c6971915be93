package testcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// startOnCore starts a command whose threads all run on one processor core.
func startOnCore(command *exec.Cmd, core int) (err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("get the CPU affinity: %w", err)
	}
	only.Set(core)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		return fmt.Errorf("set the CPU affinity to core %d: %w", core, err)
	}
	defer func() { err = errors.Join(err, unix.SchedSetaffinity(0, &before)) }()
	return command.Start()
}

// AvoidRouterCore keeps this process, and the processes that it starts afterwards, off RouterCore. It does nothing if
// there is no other core.
func AvoidRouterCore() error {
	var mask unix.CPUSet
	if err := unix.SchedGetaffinity(0, &mask); err != nil {
		return fmt.Errorf("get the CPU affinity: %w", err)
	}
	if mask.Clear(RouterCore); mask.Count() == 0 {
		return nil
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			continue
		}
		if err := unix.SchedSetaffinity(id, &mask); err != nil {
			return fmt.Errorf("exclude core %d from the CPU affinity of thread %d: %w", RouterCore, id, err)
		}
	}
	return nil
}
