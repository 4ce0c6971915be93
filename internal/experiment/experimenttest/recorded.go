// Package experimenttest compares results of simulations with recorded results, for tests.
//
// The simulations are deterministic: a run with the same plan and seed gives the same result to the last digit. The
// comparison therefore fails if a code change alters a decision, a time or the order of random draws.
package experimenttest

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Recording collects results to compare with the file testdata/recorded.txt of the package under test.
type Recording struct {
	t    testing.TB
	text strings.Builder
}

// NewRecording returns an empty recording that fails the test t if its results differ from the recorded ones.
func NewRecording(t testing.TB) *Recording { return &Recording{t: t} }

// Result adds a line with a name and a result as JSON, in the format that the commands print.
func (r *Recording) Result(name string, result any) {
	r.t.Helper()
	raw, err := json.Marshal(result)
	if err != nil {
		r.t.Fatal(err)
	}
	r.Line(name, string(raw))
}

// Line adds a line of values separated by spaces.
func (r *Recording) Line(values ...any) { fmt.Fprintln(&r.text, values...) }

// Files adds a line with the name and the SHA-256 of each file in a folder.
func (r *Recording) Files(folder string) {
	r.t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			r.t.Fatal(err)
		}
		r.Line(entry.Name(), fmt.Sprintf("%x", sha256.Sum256(content)))
	}
}

// Compare fails the test if the recording differs from testdata/recorded.txt.
func (r *Recording) Compare() {
	r.t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded.txt"))
	if err != nil {
		r.t.Fatal(err)
	}
	if got := r.text.String(); got != string(recorded) {
		r.t.Errorf("results differ from testdata/recorded.txt; got\n%s", got)
	}
}
