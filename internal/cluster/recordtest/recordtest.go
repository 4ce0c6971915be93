// Package recordtest compares a digest of the recorded results of a simulation with an expected digest. It is for
// tests of reducers whose sequence of effects must not change when their code is rewritten.
package recordtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"testing"
)

// Recorder computes one SHA-256 over all recorded lines.
type Recorder struct {
	t      *testing.T
	digest hash.Hash
}

// New returns a recorder that has no lines yet.
func New(t *testing.T) *Recorder {
	t.Helper()
	return &Recorder{t: t, digest: sha256.New()}
}

// Record adds the formatted line to the digest.
func (recorder *Recorder) Record(format string, values ...any) {
	recorder.t.Helper()
	if _, err := fmt.Fprintf(recorder.digest, format+"\n", values...); err != nil {
		recorder.t.Fatal(err)
	}
}

// Check fails the test if the digest of the recorded lines differs from want, a SHA-256 in hexadecimal.
func (recorder *Recorder) Check(want string) {
	recorder.t.Helper()
	if got := hex.EncodeToString(recorder.digest.Sum(nil)); got != want {
		recorder.t.Errorf("the recorded lines have the digest %s, want %s", got, want)
	}
}
