// Package clustertest helps tests that run the real programs.
package clustertest

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealpath/internal/experiment/testcluster"
)

const (
	logTimeout      = 10 * time.Second
	logPollInterval = 20 * time.Millisecond
)

// Build builds a program of the cmd directory and returns the path of the binary.
func Build(t testing.TB, program string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), program)
	if out, err := exec.Command("go", "build", "-o", binary, "tealpath/cmd/"+program).CombinedOutput(); err != nil {
		t.Fatalf("go build of cmd/%s: %v\n%s", program, err, out)
	}
	return binary
}

// WaitForLog waits until an instance has logged an event whose line contains a text. An empty event name matches
// every event.
func WaitForLog(t testing.TB, cluster *testcluster.Cluster, name, event, text string) {
	t.Helper()
	for deadline := time.Now().Add(logTimeout); time.Now().Before(deadline); time.Sleep(logPollInterval) {
		for _, line := range cluster.LogLines() {
			isEvent := event == "" || line.Event == event
			if line.Instance == name && isEvent && strings.Contains(line.Text, text) {
				return
			}
		}
	}
	t.Fatalf("instance %s logged no event %q with the text %q within %s", name, event, text, logTimeout)
}
