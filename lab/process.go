package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const clockTicks = 100 // a second, in /proc, on every Linux that Go runs on

// cpuSeconds is the processor time that a process has had, 0 where that can't be read.
func cpuSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// residentKB is a process's resident memory.
func residentKB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(kb)[0], 10, 64)
			return n
		}
	}
	return 0
}
