package idle

import (
	"errors"
	"testing"
)

func TestMaxConnections(t *testing.T) {
	resources := Resources{Descriptors: 20000, UpstreamConnections: 5000}
	if got := resources.MaxConnections(); got != 14936 {
		t.Errorf("%d connections, want 14936", got)
	}
	if got := (Resources{Descriptors: 10}).MaxConnections(); got != 0 {
		t.Errorf("%d connections for 10 descriptors, want none", got)
	}
}

func TestCheckSaysWhatIsMissing(t *testing.T) {
	enough := Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 192 << 20}
	littleMemory := Resources{Descriptors: 20000, UpstreamConnections: 5000, MemoryBytes: 4 << 20}
	for _, tc := range []struct {
		name           string
		resources      Resources
		maxConnections int
		policy         Policy
		want           string
		target         any // what errors.As finds
	}{
		{"enough", enough, 10000, Policy{
			MaxConnections: 10000,
			MaxPerClient:   10000,
			IdleTimeout:    maxIdleTimeout,
		}, "", nil},
		{
			"descriptors", enough, 15000,
			Policy{},
			"15000 connections: 20000 descriptors less 5000 for links and 64 for the rest leave 14936",
			new(*DescriptorError),
		},
		{
			"memory", littleMemory, 10000,
			Policy{},
			"10000 connections of 256 bytes each take 2500 KB: 1024 KB of the memory are for them",
			new(*MemoryError),
		},
		{
			"network", enough, 10000,
			Policy{MaxConnections: 20000},
			"20000 connections of a network are more than the 10000 in all",
			new(*LimitError),
		},
		{
			"client", enough, 10000,
			Policy{MaxPerClient: 30000},
			"30000 connections of a client are more than the 10000 in all",
			new(*LimitError),
		},
		{
			"timeout",
			enough,
			10000,
			Policy{IdleTimeout: maxIdleTimeout + 1},
			"idle for more than a week",
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
				t.Fatalf("%v, want %q", err, tc.want)
			}
			if !errors.As(err, tc.target) {
				t.Errorf("%T, want %T", err, tc.target)
			}
			if ofPolicy, ok := errors.AsType[*PolicyError](err); ok && ofPolicy.Index != 1 {
				t.Errorf("policy %d, want 1", ofPolicy.Index)
			}
		})
	}
}
