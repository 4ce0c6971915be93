// Package recordtest compares what a simulation did, in order, with a digest of what it did before. It is for tests of
// reducers whose sequence of effects has to stay the same when their code is rewritten.
package recordtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"testing"
)

// Recorder takes the SHA-256 of the lines recorded.
type Recorder struct {
	t      *testing.T
	digest hash.Hash
}

// New makes a recorder of nothing.
func New(t *testing.T) *Recorder {
	t.Helper()
	return &Recorder{t: t, digest: sha256.New()}
}

// Record adds a line.
func (recorder *Recorder) Record(format string, values ...any) {
	recorder.t.Helper()
	if _, err := fmt.Fprintf(recorder.digest, format+"\n", values...); err != nil {
		recorder.t.Fatal(err)
	}
}

// Check fails the test if the lines recorded have another digest.
func (recorder *Recorder) Check(want string) {
	recorder.t.Helper()
	if got := hex.EncodeToString(recorder.digest.Sum(nil)); got != want {
		recorder.t.Errorf("the sequence has the digest %s, not %s", got, want)
	}
}
