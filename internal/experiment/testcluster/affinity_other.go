//go:build !linux

package testcluster

import "os/exec"

// startOnCore starts a command; cores cannot be chosen here.
func startOnCore(command *exec.Cmd, _ int) error { return command.Start() }

// AvoidRouterCore does nothing here.
func AvoidRouterCore() error { return nil }
