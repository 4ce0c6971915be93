package server

import (
	"cmp"
	"errors"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/connpool"
	"tealpath/internal/downstream"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/operatorconfig"

	"github.com/rs/zerolog"
)

// Shares of the configured memory.
const (
	// collectorMemoryShare is the runtime's soft memory limit, near which the garbage collector runs more often.
	collectorMemoryShare = 0.7

	// responseMemoryShare bounds the responses that wait for slow clients. The same amount, apart from that,
	// bounds the large requests being read.
	responseMemoryShare = 0.2

	// bodyMemoryShare bounds the bodies of requests in flight.
	bodyMemoryShare = 0.1
)

// Shares of the configured descriptors. A quarter is left for files, listeners and connections to other
// instances.
const (
	clientSocketShare   = 0.5
	upstreamSocketShare = 0.25
)

const (
	// minSockets is assumed if fewer descriptors are configured: the shares of less would be too small to serve
	// anybody.
	minSockets = 64

	// defaultMemoryMB is assumed if no memory limit is configured, MiB.
	defaultMemoryMB = 64

	// maxOpenRequestsPerClient bounds the requests in flight on one client's connection.
	maxOpenRequestsPerClient = 32
)

// maxSockets returns how many descriptors may be open at once.
func (s *Server) maxSockets() int64 { return max(s.config.MaxSockets, minSockets) }

// maxClientSockets returns how many descriptors may be open for clients' connections, unless the operator's file
// has another limit.
func (s *Server) maxClientSockets() int { return int(clientSocketShare * float64(s.maxSockets())) }

// maxUpstreamSockets returns how many descriptors may be open for connections to endpoints.
func (s *Server) maxUpstreamSockets() int { return int(upstreamSocketShare * float64(s.maxSockets())) }

// memoryBytes returns a share of the configured memory, in bytes.
func (s *Server) memoryBytes(share float64) int {
	return int(share * float64(cmp.Or(s.config.MemoryMB, defaultMemoryMB)<<20))
}

// clientConnections returns how many connections clients may have open, and the policies by which idle ones are
// closed; nil policies are the platform's defaults.
func (s *Server) clientConnections() (maxConnections int, policies *downstream.NetworkPolicies) {
	limit := s.maxClientSockets()
	if s.operator == nil || s.operator.Idle == nil {
		return limit, nil
	}
	rules := s.operator.Idle
	policies = &downstream.NetworkPolicies{ByAddress: rules.PolicyByNetwork}
	for _, network := range rules.Policies {
		network.FirstRequestTimeout = downstream.MaxIdleBeforeFirstRequest
		policies.Policies = append(policies.Policies, network)
	}
	return cmp.Or(rules.MaxConnections, limit), policies
}

// readinessHold returns how long this router may report that it is not ready after its start, by the operator's
// file.
func (s *Server) readinessHold() startup.ReadinessHold {
	if s.operator == nil {
		return startup.ReadinessHold{}
	}
	return s.operator.ReadinessHold
}

// connectionPlan returns the plan of connections to caches; nil if the operator's file does not state how many
// connections a cache takes.
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

// shortestGrace returns the shortest time within which a router has to act on a drain or a purge, ns; 0: unknown.
func (s *Server) shortestGrace() int64 {
	shortest := int64(0)
	for _, grace := range []int64{s.config.Settings.DrainGrace, s.config.Settings.PurgeGrace} {
		if grace > 0 && (shortest == 0 || grace < shortest) {
			shortest = grace
		}
	}
	return shortest
}

// longestDeadline returns the longest time that a client may wait for its response.
func (s *Server) longestDeadline() time.Duration {
	return time.Duration(s.config.Settings.LongestDeadline)
}

// CheckOperatorConfig checks an operator's file against a configuration: the deployment's settings and the
// limits. It sets the parts of the file that come from the configuration, such as the limits of endpoints in slow
// start, so it has to be called before the file is used.
func CheckOperatorConfig(operator *operatorconfig.File, c *config.Config) error {
	cache, parent := coldLimits(c.Settings)
	s := New(c, operator, zerolog.Nop())
	bounds := idle.Resources{
		Descriptors:         int(s.maxSockets()),
		UpstreamConnections: s.maxUpstreamSockets(),
		MemoryBytes:         int64(s.memoryBytes(1)),
	}
	return errors.Join(
		operator.ApplySettings(c.Settings.HealthChecks, cache, parent),
		operator.CheckResources(bounds, s.maxClientSockets()),
		operator.CheckReadinessHold(c.Settings.Routers),
		operator.CheckConnections(routersHere(c.Settings)),
	)
}
