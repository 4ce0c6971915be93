package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// CPUSeconds returns the processor time that the threads of a process have used, or 0 if it cannot be read. It uses
// the scheduler's statistics in nanoseconds: those in clock ticks count a whole tick if a thread runs at the tick's
// end.
func CPUSeconds(pid int) float64 {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is well formed
	sum := 0.
	for _, file := range files {
		raw, err := os.ReadFile(file)
		fields := strings.Fields(string(raw))
		if err != nil || len(fields) == 0 {
			continue
		}
		nanoseconds, _ := strconv.ParseFloat(fields[0], 64) // an invalid number counts as 0
		sum += nanoseconds / 1e9
	}
	return sum
}

// ResidentKB returns the resident memory of a process in KB, or 0 if it cannot be read.
func ResidentKB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes
		}
	}
	return 0
}
