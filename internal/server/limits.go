package server

import (
	"cmp"
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
	// collectorMemoryShare sets the Go runtime's soft memory limit, near which the garbage collector runs more often.
	collectorMemoryShare = 0.7

	// responseMemoryShare limits the memory of responses that wait for slow clients.
	responseMemoryShare = 0.2

	// requestMemoryShare limits the memory of large requests that are being read or wait for the event loop.
	requestMemoryShare = 0.1

	// bodyMemoryShare limits the memory of the bodies of requests in flight.
	bodyMemoryShare = 0.1

	// requestIDMemoryShare limits the memory of the IDs of requests to which responses may come that no attempt waits
	// for. The same limit applies separately to the IDs of ended requests that must not be executed again.
	requestIDMemoryShare = 0.05
)

// bytesPerRequestID is the memory that each of these IDs takes, with the unused part of its table.
const bytesPerRequestID = 128

// Shares of the configured descriptors. The remaining quarter is for files, listeners and connections to other
// instances.
const (
	clientSocketShare   = 0.5
	upstreamSocketShare = 0.25
)

// resumeWaitDivisor divides the shortest deadline of a client: the result is how long a request may wait to be read.
const resumeWaitDivisor = 4

const (
	// minSockets replaces a smaller configured number of descriptors, because its shares would be too small to serve
	// any client.
	minSockets = 64

	// defaultMemoryMB takes the place of the configured memory if none is configured, MiB.
	defaultMemoryMB = 64

	// maxOpenRequestsPerClient is the largest number of requests in flight on one client's connection.
	maxOpenRequestsPerClient = 32
)

// maxSockets returns how many descriptors may be open at once, at least minSockets.
func (s *Server) maxSockets() int64 { return max(s.config.MaxSockets, minSockets) }

// maxClientSockets returns how many descriptors may be open for clients' connections if the operator's file sets no
// limit.
func (s *Server) maxClientSockets() int { return int(clientSocketShare * float64(s.maxSockets())) }

// maxUpstreamSockets returns how many descriptors may be open for connections to endpoints.
func (s *Server) maxUpstreamSockets() int { return int(upstreamSocketShare * float64(s.maxSockets())) }

// memoryBytes returns a share of the configured memory, or of defaultMemoryMB if none is configured, in bytes.
func (s *Server) memoryBytes(share float64) int {
	return int(share * float64(cmp.Or(s.config.MemoryMB, defaultMemoryMB)<<20))
}

// clientConnections returns the largest number of clients' connections, and the policies for closing idle ones. The
// policies are nil if the platform's defaults apply.
func (s *Server) clientConnections() (maxConnections int, policies *downstream.NetworkPolicies) {
	limit := s.maxClientSockets()
	if s.operator == nil || s.operator.Idle == nil {
		return limit, nil
	}
	idleConfig := s.operator.Idle
	policies = &downstream.NetworkPolicies{ByAddress: idleConfig.PolicyByNetwork}
	for _, network := range idleConfig.Policies {
		network.FirstRequestTimeout = downstream.MaxIdleBeforeFirstRequest
		policies.Policies = append(policies.Policies, network)
	}
	return cmp.Or(idleConfig.MaxConnections, limit), policies
}

// readinessHold returns the readiness hold of the operator's file. Without a file it returns the zero value, no hold.
func (s *Server) readinessHold() startup.ReadinessHold {
	if s.operator == nil {
		return startup.ReadinessHold{}
	}
	return s.operator.ReadinessHold
}

// connectionPlan returns the plan of connections to caches, nil if the operator's file does not state how many
// connections a cache accepts.
func (s *Server) connectionPlan() *connpool.Plan {
	if s.operator == nil || s.operator.Connections == nil {
		return nil
	}
	plan := *s.operator.Connections
	plan.Router = s.config.Name
	plan.Seed = s.config.Seed
	plan.Routers = routersInLocation(s.config.Settings)
	return connpool.New(plan)
}

// shortestGracePeriod returns the shortest time within which a router has to act on a drain or a purge, ns; 0:
// unknown.
func (s *Server) shortestGracePeriod() int64 {
	shortest := int64(0)
	for _, grace := range []int64{s.config.Settings.DrainGrace, s.config.Settings.PurgeGrace} {
		if grace > 0 && (shortest == 0 || grace < shortest) {
			shortest = grace
		}
	}
	return shortest
}

// maxResumeWait returns how long a request on a suspended connection may wait for memory: it is rejected early enough
// for its client to try another router in the rest of its time.
func (s *Server) maxResumeWait() time.Duration {
	return time.Duration(s.config.Settings.ShortestDeadline) / resumeWaitDivisor
}

// longestDeadline returns the longest time for which a client may wait for a response.
func (s *Server) longestDeadline() time.Duration {
	return time.Duration(s.config.Settings.LongestDeadline)
}

// CheckOperatorConfig checks an operator's file against the settings and limits of a configuration, and returns the
// sections that do not fit. It also sets the parts of the file that come from the configuration, such as the limits of
// endpoints in slow start, so it must be called before the file is used.
func CheckOperatorConfig(operator *operatorconfig.File, c *config.Config) (misfits []*operatorconfig.SectionError) {
	cache, parent := coldLimits(c.Settings)
	s := New(c, operator, zerolog.Nop())
	resources := idle.Resources{
		Descriptors:         int(s.maxSockets()),
		UpstreamConnections: s.maxUpstreamSockets(),
		MemoryBytes:         int64(s.memoryBytes(1)),
	}
	check := func(section operatorconfig.Section, err error) {
		if err != nil {
			misfits = append(misfits, &operatorconfig.SectionError{Section: section, Err: err})
		}
	}
	check(operatorconfig.SectionProbe, operator.ApplySettings(c.Settings.HealthChecks, cache, parent))
	check(operatorconfig.SectionIdle, operator.CheckResources(resources, s.maxClientSockets()))
	check(operatorconfig.SectionStart, operator.CheckReadinessHold(c.Settings.Routers))
	check(operatorconfig.SectionLinks, operator.CheckConnections(routersInLocation(c.Settings)))
	return misfits
}
