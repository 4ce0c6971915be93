package recordtest

import "testing"

// A digest that left out a line would not detect a change in it. The expected digest is the output of
// `printf 'a 1\nb 2\n' | sha256sum`.
func TestDigestCoversAllLines(t *testing.T) {
	recorder := New(t)
	recorder.Record("a %d", 1)
	recorder.Record("b %d", 2)
	recorder.Check("2951835de33689a441bfa61bc7af99b1f0305ca8ec0ab4dd508f14f57b27ca23")
}
