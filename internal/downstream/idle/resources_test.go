package idle

import (
	"errors"
	"testing"
)

func TestMaxConnections(t *testing.T) {
	resources := Resources{Descriptors: 20000, UpstreamConnections: 5000}
	if got := resources.MaxConnections(); got != 14936 {
		t.Errorf("MaxConnections() = %d, want 14936", got)
	}
	if got := (Resources{Descriptors: 10}).MaxConnections(); got != 0 {
		t.Errorf("MaxConnections() with 10 descriptors = %d, want 0", got)
	}
}

func TestCheckErrors(t *testing.T) {
	enough := Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 192 << 20}
	littleMemory := Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 4 << 20}
	for _, tc := range []struct {
		name           string
		resources      Resources
		maxConnections int
		policy         Policy
		want           string
		target         any // pointer to a variable of the expected error type, for errors.As
	}{
		{"enough", enough, 10000, Policy{
			MaxConnections: 10000,
			MaxPerClient:   10000,
			IdleTimeout:    maxIdleTimeout,
		}, "", nil},
		{
			"descriptors", enough, 15000,
			Policy{},
			"15000 connections need too many descriptors: of 20000, 5000 are reserved for connections to endpoints" +
				" and 64 for other uses, which leaves 14936",
			new(*DescriptorError),
		},
		{
			"memory", littleMemory, 10000,
			Policy{},
			"10000 connections of 256 bytes each need 2500 KB of memory, but only 1024 KB are available for them",
			new(*MemoryError),
		},
		{
			"network", enough, 10000,
			Policy{MaxConnections: 20000},
			"limit of 20000 connections for a network exceeds the limit of 10000 for all connections",
			new(*LimitError),
		},
		{
			"client", enough, 10000,
			Policy{MaxPerClient: 30000},
			"limit of 30000 connections for a client exceeds the limit of 10000 for all connections",
			new(*LimitError),
		},
		{
			"timeout",
			enough,
			10000,
			Policy{IdleTimeout: maxIdleTimeout + 1},
			"idle timeout is too long: 168h0m0.000000001s, at most 168h0m0s is allowed",
			new(*PolicyError),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.resources.Check(tc.maxConnections, []Policy{{}, tc.policy})
			if tc.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || err.Error() != tc.want {
				t.Fatalf("error %v, want %q", err, tc.want)
			}
			if !errors.As(err, tc.target) {
				t.Errorf("error type %T, want one that can be assigned to %T", err, tc.target)
			}
			if policyErr, ok := errors.AsType[*PolicyError](err); ok && policyErr.Index != 1 {
				t.Errorf("error concerns policy %d, want policy 1", policyErr.Index)
			}
		})
	}
}
