package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// cpuSeconds is the processor time that a process's threads have had, by the scheduler's account in ns: that in clock ticks
// counts a whole tick for a moment at its end. 0 where it can't be read.
func cpuSeconds(pid int) (sum float64) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if fields := strings.Fields(string(raw)); err == nil && len(fields) > 0 {
			ns, _ := strconv.ParseFloat(fields[0], 64)
			sum += ns / 1e9
		}
	}
	return sum
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
