//go:build !linux

package testcluster

import "os/exec"

// startOnCore starts a command. On this system it cannot choose the core.
func startOnCore(command *exec.Cmd, _ int) error { return command.Start() }

// AvoidRouterCore has no effect on this system.
func AvoidRouterCore() error { return nil }
