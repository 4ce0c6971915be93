package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// CPUSeconds returns the processor time that a process's threads have had, by the scheduler's account in
// nanoseconds: that in clock ticks counts a whole tick for a moment at its end. It is 0 where it cannot be
// read.
func CPUSeconds(pid int) float64 {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is well formed
	sum := 0.
	for _, file := range files {
		raw, err := os.ReadFile(file)
		fields := strings.Fields(string(raw))
		if err != nil || len(fields) == 0 {
			continue
		}
		nanoseconds, _ := strconv.ParseFloat(fields[0], 64) // 0 is right where it is no number
		sum += nanoseconds / 1e9
	}
	return sum
}

// ResidentKB returns a process's resident memory. It is 0 where it cannot be read.
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
