package experiment

import (
	"encoding/json"
	"tealpath/internal/cluster"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/server"
)

// Names of the events that experiments look for in the routers' logs.
var (
	phaseChanged        = server.PhaseChanged{}.Kind().Name
	stoppedPhase        = server.Stopped.String()
	startupPhaseChanged = server.StartupPhaseChanged{}.Kind().Name
	leasesAcquired      = cluster.LeasesAcquired{}.Kind().Name
	memberDead          = cluster.MemberDead{}.Kind().Name
	membersDead         = cluster.MembersDead{}.Kind().Name
)

// isStartupPhase tells whether a line of the log says that a start has come to a phase.
func isStartupPhase(line []byte, phase startup.Phase) bool {
	var event struct{ Event, Phase string }
	if err := json.Unmarshal(line, &event); err != nil {
		return false
	}
	return event.Event == startupPhaseChanged && event.Phase == phase.String()
}
