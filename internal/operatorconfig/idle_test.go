package operatorconfig

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpath/internal/downstream/idle"
)

// idleFile has a default policy and policies for two networks, one of which contains the other.
const idleFile = `(idle (after 2h) (spread 10s) (most 10000) (per-client 50)
  (network "10.0.0.0/8" (after 5m) (most 200))
  (network "10.1.0.0/16" (per-client 3)))`

// A network inherits the values of (idle …), except for the maximum number of connections.
func TestIdlePoliciesAreDecoded(t *testing.T) {
	file, err := Parse(idleFile, "a", ".")
	if err != nil {
		t.Fatal(err)
	}
	decoded := file.Idle
	if decoded.MaxConnections != 10000 {
		t.Errorf("MaxConnections is %d, want 10000", decoded.MaxConnections)
	}
	const maxJitter = int64(10 * time.Second)
	want := []idle.Policy{
		{IdleTimeout: int64(2 * time.Hour), MaxJitter: maxJitter, MaxPerClient: 50},
		{IdleTimeout: int64(5 * time.Minute), MaxJitter: maxJitter, MaxConnections: 200, MaxPerClient: 50},
		{IdleTimeout: int64(2 * time.Hour), MaxJitter: maxJitter, MaxPerClient: 3},
	}
	if !slices.Equal(decoded.Policies, want) {
		t.Errorf("policies %+v, want %+v", decoded.Policies, want)
	}
	for ip, want := range map[string]uint16{"10.1.2.3": 2, "10.2.0.1": 1, "192.0.2.1": 0} {
		if got, _ := decoded.PolicyByNetwork.Lookup(netip.MustParseAddr(ip)); got != want {
			t.Errorf("%s has policy %d, want %d", ip, got, want)
		}
	}
}

// The connection limits must not exceed the resources of the process, and those of a network or a client must not
// exceed the limit of all connections.
func TestIdleLimitsAreCheckedAgainstResources(t *testing.T) {
	const defaultMaxConnections = 500
	resources := idle.Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 192 << 20}
	littleMemory := resources
	littleMemory.MemoryBytes = 4 << 20
	for _, c := range []struct {
		name      string
		old, new  string
		resources idle.Resources
		want      string // part of the error; empty: no error
	}{
		{"unchanged file", "", "", resources, ""},
		{
			"more connections than descriptors", "(most 10000)", "(most 15000)", resources,
			"1:1: 15000 connections need too many descriptors: of 20000, 5000 are reserved for connections to endpoints",
		},
		{
			"more connections than the memory allows", "", "", littleMemory,
			"1:1: 10000 connections of 256 bytes each need 2500 KB",
		},
		{
			"a network with a higher limit than all", "(most 200)", "(most 20000)", resources,
			"2:3: limit of 20000 connections for a network exceeds the limit of 10000 for all connections",
		},
		{
			"a client with a higher limit than all", "(per-client 3)", "(per-client 30000)", resources,
			"3:3: limit of 30000 connections for a client exceeds",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			file, err := Parse(strings.Replace(idleFile, c.old, c.new, 1), "a", ".")
			if err != nil {
				t.Fatal(err)
			}
			expectErrorPart(t, file.CheckResources(c.resources, defaultMaxConnections), c.want)
		})
	}
}

func TestIdleErrorsNamePositionAndReason(t *testing.T) {
	for text, want := range map[string]string{
		`(idle (after 2))`:                                     "1:14: after: 2 is invalid, want a duration",
		`(idle (network "10.0.0.1/8"))`:                        `1:16: network: "10.0.0.1/8" is invalid`,
		`(idle (network (after 1s)))`:                          "1:7: (network …) must begin with a network",
		`(idle (network "10.0.0.0/8") (network "10.0.0.0/8"))`: "1:30: duplicate network 10.0.0.0/8",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := Parse(text, "a", ".")
			expectErrorPart(t, err, want)
		})
	}
}

// expectErrorPart checks that err contains the text want, or that err is nil if want is empty.
func expectErrorPart(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err == nil {
		return
	}
	if want == "" || err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want one with %q (empty: no error)", err, want)
	}
}
