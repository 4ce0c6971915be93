package server

import (
	"slices"
	"testing"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/downstream"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/operatorconfig"

	"github.com/rs/zerolog"
)

// Half of the descriptors are for clients, unless the operator's file sets a limit. The policies in the file are
// completed with the server's timeout for the first request on a connection.
func TestClientConnectionsByOperatorsFile(t *testing.T) {
	policy := idle.Policy{IdleTimeout: int64(time.Minute)}
	for _, c := range []struct {
		name     string
		operator *operatorconfig.File
		want     int
		policies int // number of idle policies; 0: the platform's defaults apply
	}{
		{"no operator's file", nil, 500, 0},
		{"a file without idle connections", &operatorconfig.File{}, 500, 0},
		{
			"idle connections without a limit",
			&operatorconfig.File{Idle: &operatorconfig.IdleConnections{Policies: []idle.Policy{policy}}},
			500, 1,
		},
		{
			"idle connections with a limit",
			&operatorconfig.File{Idle: &operatorconfig.IdleConnections{
				MaxConnections: 70,
				Policies:       []idle.Policy{policy, policy},
			}},
			70, 2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(&config.Config{MaxSockets: 1000}, c.operator, zerolog.Nop())
			got, policies := s.clientConnections()
			if got != c.want {
				t.Errorf("limit of %d connections, want %d", got, c.want)
			}
			if c.policies == 0 {
				if policies != nil {
					t.Errorf("policies %+v, want none", policies)
				}
				return
			}
			want := policy
			want.FirstRequestTimeout = downstream.MaxIdleBeforeFirstRequest
			if !slices.Equal(policies.Policies, slices.Repeat([]idle.Policy{want}, c.policies)) {
				t.Errorf("policies %+v, want %d of %+v", policies.Policies, c.policies, want)
			}
		})
	}
}
