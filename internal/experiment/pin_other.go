//go:build !linux

package experiment

import "os/exec"

// startOn starts a command; cores can't be chosen here.
func startOn(cmd *exec.Cmd, _ int) error { return cmd.Start() }

// leaveCore does nothing here.
func leaveCore(int) error { return nil }
