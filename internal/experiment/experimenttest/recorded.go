// Package experimenttest helps tests to compare results of simulations with results that were recorded earlier.
//
// The simulations are deterministic: a run with the same plan and seed gives the same result to the last
// digit. So a change of the code that changes a decision, a time or the order of random draws is seen.
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

// Recording collects what is compared with the file testdata/recorded.txt of the package under test.
type Recording struct {
	t    testing.TB
	text strings.Builder
}

// NewRecording makes an empty recording.
func NewRecording(t testing.TB) *Recording { return &Recording{t: t} }

// Result adds a result as JSON, which is what the commands print.
func (r *Recording) Result(name string, result any) {
	r.t.Helper()
	raw, err := json.Marshal(result)
	if err != nil {
		r.t.Fatal(err)
	}
	r.Line(name, string(raw))
}

// Line adds a line of values with spaces between them.
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

// Compare fails the test where the recording differs from the file.
func (r *Recording) Compare() {
	r.t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded.txt"))
	if err != nil {
		r.t.Fatal(err)
	}
	if got := r.text.String(); got != string(recorded) {
		r.t.Errorf("results differ from those that were recorded; got\n%s", got)
	}
}
