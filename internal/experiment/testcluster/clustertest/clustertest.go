// Package clustertest has helpers for tests that run a testcluster.Cluster.
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

// Build builds a program of cmd/ and returns its path.
func Build(t testing.TB, program string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), program)
	if out, err := exec.Command("go", "build", "-o", binary, "tealpath/cmd/"+program).CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v: %s", program, err, out)
	}
	return binary
}

// WaitForLog waits until an instance has logged an event whose line contains a text. An empty event matches any event.
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
	t.Fatalf("%s has not logged event %q with %q within %s", name, event, text, logTimeout)
}
