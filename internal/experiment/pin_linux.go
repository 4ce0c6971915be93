package experiment

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// startOn starts a command on one core, which its threads inherit; -1 is any.
func startOn(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &before)
	return cmd.Start()
}

// leaveCore takes this process, and what it starts from then on, off a core.
func leaveCore(core int) error {
	var mask unix.CPUSet
	if err := unix.SchedGetaffinity(0, &mask); err != nil {
		return err
	}
	if mask.Clear(core); mask.Count() == 0 {
		return nil // it is the only one
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, t := range threads {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			if err := unix.SchedSetaffinity(id, &mask); err != nil {
				return err
			}
		}
	}
	return nil
}
