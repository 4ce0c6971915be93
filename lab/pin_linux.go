package lab

import (
	"os/exec"
	"runtime"

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
