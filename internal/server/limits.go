package server

import (
	"cmp"
	"errors"
	"tealpath/internal/config"
	"tealpath/internal/connpool"
	"tealpath/internal/downstream"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/operatorconfig"
	"time"

	"github.com/rs/zerolog"
)

// Shares of the configured memory.
const (
	// collectorMemoryShare is from which the garbage collector works harder.
	collectorMemoryShare = 0.7

	// responseMemoryShare is for responses that wait for slow clients, and as much again for large requests
	// being read.
	responseMemoryShare = 0.2

	// bodyMemoryShare is for the bodies of requests in flight.
	bodyMemoryShare = 0.1
)

// Shares of the configured descriptors. A quarter is left for files, the listeners and links between instances.
const (
	clientSocketShare   = 0.5
	upstreamSocketShare = 0.25
)

const (
	// minSockets is counted on where fewer descriptors are configured: shares of less would serve nobody.
	minSockets = 64

	// defaultMemoryMB is counted on where no limit of the memory is configured, MiB.
	defaultMemoryMB = 64

	// maxOpenRequestsPerClient bounds the requests without a final answer on one client's connection.
	maxOpenRequestsPerClient = 32
)

// maxSockets is how many descriptors may be open at once.
func (s *Server) maxSockets() int64 { return max(s.config.MaxSockets, minSockets) }

// maxClientSockets is how many of them clients' connections may take.
func (s *Server) maxClientSockets() int { return int(clientSocketShare * float64(s.maxSockets())) }

// maxUpstreamSockets is how many of them connections to endpoints may take.
func (s *Server) maxUpstreamSockets() int { return int(upstreamSocketShare * float64(s.maxSockets())) }

// memory is a share of the memory, bytes.
func (s *Server) memory(share float64) int {
	return int(share * float64(cmp.Or(s.config.MemoryMB, defaultMemoryMB)<<20))
}

// clientConnections returns how many connections clients may hold, and how idle ones are kept; nil is as
// the platform states it.
func (s *Server) clientConnections() (int, *downstream.NetworkPolicies) {
	limit := s.maxClientSockets()
	if s.operator == nil || s.operator.Idle == nil {
		return limit, nil
	}
	rules := s.operator.Idle
	policies := &downstream.NetworkPolicies{ByAddress: rules.PolicyByNetwork}
	for _, network := range rules.Policies {
		network.FirstRequestTimeout = downstream.MaxIdleBeforeFirstRequest
		policies.Policies = append(policies.Policies, network)
	}
	return cmp.Or(rules.MaxConnections, limit), policies
}

// readinessHold is for how long this router is not ready after its start, by the operator's file.
func (s *Server) readinessHold() startup.ReadinessHold {
	if s.operator == nil {
		return startup.ReadinessHold{}
	}
	return s.operator.ReadinessHold
}

// connectionPlan is the plan of connections to caches; nil where the operator's file does not say what
// those bear.
func (s *Server) connectionPlan() *connpool.Plan {
	if s.operator == nil || s.operator.Connections == nil {
		return nil
	}
	plan := *s.operator.Connections
	plan.Router = s.config.Name
	plan.Seed = s.config.Seed
	plan.Routers = routersHere(s.config.Settings)
	return connpool.New(plan)
}

// shortestGrace is the shortest time in which a router has to act on what discovery reports, ns; 0 is not
// known.
func (s *Server) shortestGrace() int64 {
	shortest := int64(0)
	for _, grace := range []int64{s.config.Settings.DrainGrace, s.config.Settings.PurgeGrace} {
		if grace > 0 && (shortest == 0 || grace < shortest) {
			shortest = grace
		}
	}
	return shortest
}

// longestDeadline is the longest time that a client may wait for its answer.
func (s *Server) longestDeadline() time.Duration {
	return time.Duration(s.config.Settings.LongestDeadline)
}

// CheckOperatorConfig checks an operator's file against a configuration: the deployment's settings and the
// limits.
func CheckOperatorConfig(operator *operatorconfig.File, c *config.Config) error {
	cache, parent := coldLimits(c.Settings)
	s := New(c, operator, zerolog.Nop())
	bounds := idle.Resources{
		Descriptors:         int(s.maxSockets()),
		UpstreamConnections: s.maxUpstreamSockets(),
		MemoryBytes:         int64(s.memory(1)),
	}
	return errors.Join(
		operator.ApplySettings(c.Settings.HealthChecks, cache, parent),
		operator.CheckResources(bounds, s.maxClientSockets()),
		operator.CheckReadinessHold(c.Settings.Routers),
		operator.CheckConnections(routersHere(c.Settings)),
	)
}
