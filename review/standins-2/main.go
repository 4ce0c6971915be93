package main

import (
	"os"
	"path/filepath"
	"runtime"
)

var cases = map[string]func(){}

// Routers are started by the main thread, which lives as long as the process: when it ends, the kernel kills them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil || root == "" {
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		os.Exit(2)
	}
	if temp, err = os.MkdirTemp("", "review"); err != nil {
		os.Exit(2)
	}
	onSignals()
	say("case %s, disruption: %v", os.Args[1], trouble)
	cases[os.Args[1]]()
	held("the case ended")
}
