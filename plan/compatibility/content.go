package compatibility

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode gives settings as the content of a version.
func Encode(s Settings) ([]byte, error) { return cbor.Marshal(s) }

// Decode reads a version's content.
func Decode(content []byte) (s Settings, err error) {
	if err := cbor.Unmarshal(content, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Incompatible tells whether two contents may never be acted on at once, and why the second can't be at all. It is how fleet/agree
// judges versions.
func Incompatible(a, b []byte) (bool, error) {
	was, err := Decode(a)
	if err != nil {
		return true, err
	}
	is, err := Decode(b)
	if err != nil {
		return true, err
	}
	if err := is.Voters.Check(); err != nil {
		return true, err
	}
	switch {
	case is.Routers < 1:
		return true, fmt.Errorf("cold budgets divided by %d routers", is.Routers)
	case is.Slots < 1 || is.LeaseDuration <= 0 || is.MaxClockDrift < 0 || is.MaxClockDrift >= 1:
		return true, fmt.Errorf("%d slots, a lease of %d ns, a drift of %g", is.Slots, is.LeaseDuration, is.MaxClockDrift)
	case is.Voters.Epoch != was.Voters.Epoch && votersApart(was.Voters, is.Voters) != "":
		return true, fmt.Errorf("%s", votersApart(was.Voters, is.Voters))
	}
	return WorstSeverity(Compare(was, is)) == Exclusive, nil
}
