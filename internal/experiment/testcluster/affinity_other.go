//go:build !linux

package testcluster

import "os/exec"

// startOnCore starts a command on any core: the core can only be chosen on Linux.
func startOnCore(command *exec.Cmd, _ int) error { return command.Start() }

// AvoidRouterCore does nothing: cores can only be chosen on Linux.
func AvoidRouterCore() error { return nil }
