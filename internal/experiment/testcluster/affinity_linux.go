package testcluster

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// startOnCore starts a command with all its threads on one core.
func startOnCore(command *exec.Cmd, core int) (err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	only.Set(core)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, unix.SchedSetaffinity(0, &before)) }()
	return command.Start()
}

// AvoidRouterCore keeps this process, and processes that it starts later, off RouterCore. It has no effect if there is
// no other core.
func AvoidRouterCore() error {
	var mask unix.CPUSet
	if err := unix.SchedGetaffinity(0, &mask); err != nil {
		return err
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
			return err
		}
	}
	return nil
}
