package operatorconfig

import (
	"net/netip"
	"strings"
	"tealpath/internal/downstream/idle"
	"testing"
)

func TestIdleConnectionSettings(t *testing.T) {
	const text = `(idle (after 2h) (spread 10s) (most 10000) (per-client 50)
  (network "10.0.0.0/8" (after 5m) (most 200))
  (network "10.1.0.0/16" (per-client 3)))`
	file, err := Parse(text, "a", ".")
	if err != nil {
		t.Fatal(err)
	}
	k := file.Idle
	if k.MaxConnections != 10000 || len(k.Policies) != 3 || k.Policies[1] != (idle.Policy{IdleTimeout: 300e9, MaxJitter: 10e9, MaxConnections: 200, MaxPerClient: 50}) ||
		k.Policies[2].MaxPerClient != 3 || k.Policies[2].IdleTimeout != 7200e9 {
		t.Errorf("%+v", k)
	}
	for ip, want := range map[string]uint16{"10.1.2.3": 2, "10.2.0.1": 1, "192.0.2.1": 0} {
		if got, _ := k.PolicyByNetwork.Lookup(netip.MustParseAddr(ip)); got != want {
			t.Errorf("%s is of network %d, want %d", ip, got, want)
		}
	}
	bounds := idle.Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 192 << 20}
	if err := file.CheckResources(bounds, 500); err != nil {
		t.Error(err)
	}
	for _, tc := range []struct {
		old, new string
		bounds   idle.Resources
		want     string
	}{
		{"(most 10000)", "(most 15000)", bounds, "1:1: 15000 connections: 20000 descriptors less 5000 for links"},
		{"", "", idle.Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 4 << 20}, "1:1: 10000 connections of 256 bytes each take 2500 KB"},
		{"(most 200)", "(most 20000)", bounds, "2:3: 20000 connections of a network are more than the 10000 in all"},
		{"(per-client 3)", "(per-client 30000)", bounds, "3:3: 30000 connections of a client are more"},
	} {
		file, err := Parse(strings.Replace(text, tc.old, tc.new, 1), "a", ".")
		if err == nil {
			err = file.CheckResources(tc.bounds, 500)
		}
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%v, want %q", err, tc.want)
		}
	}
	for text, want := range map[string]string{
		`(idle (after 2))`: "1:14: 2 is no time", `(idle (network "10.0.0.1/8"))`: "1:16: ",
		`(idle (network (after 1s)))`: "1:7: (network …) takes", `(idle (network "10.0.0.0/8") (network "10.0.0.0/8"))`: "1:30: network 10.0.0.0/8 stands twice",
	} {
		if _, err := Parse(text, "a", "."); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
