package server

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		PhaseChanged{},
		StartupPhaseChanged{},
		SnapshotRestored{},
		SnapshotIgnored{},
		SnapshotWriteFailed{},
		SnapshotWriteRecovered{},
		ConfigReloaded{},
		ConfigRejected{},
		ConfigLoadDelayed{},
		OperatorConfigNeedsRestart{},
		ClusterMessageIgnored{},
		ClusterMessageNotSent{},
	}
}

// PhaseChanged reports where the server stands between its start and its exit.
type PhaseChanged struct {
	Phase string `log:"phase"` // starting, serving, draining or stopped
}

// Kind returns the event's name and level.
func (PhaseChanged) Kind() logevent.Kind {
	return logevent.Kind{Name: "server_phase_changed", Level: logevent.Info, Message: "the server enters a phase"}
}

// StartupPhaseChanged reports how far the start has come, from an endpoint list to request rates that can
// be relied on.
type StartupPhaseChanged struct {
	Phase string `log:"phase"` // alone, listed, warming or whole
}

// Kind returns the event's name and level.
func (StartupPhaseChanged) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "startup_phase_changed",
		Level:   logevent.Info,
		Message: "the start has come further",
	}
}

// SnapshotRestored reports that the start uses what an earlier process has stored.
type SnapshotRestored struct {
	// Objects is how many have known request rates.
	Objects int `log:"objects"`
	// Scope is how much of it is used: whole, or beliefs, which is all but request rates.
	Scope string `log:"scope"`
	// Cause is why not all of it is used.
	Cause error `log:"cause,omitempty"`
	// Endpoints counts those of its endpoint list, which waits to be confirmed by discovery.
	Endpoints int `log:"endpoints,omitempty"`
	// ConfirmedBy is the number of the watch event that confirms the list.
	ConfirmedBy int64 `log:"confirmed_by,omitempty"`
}

// Kind returns the event's name and level.
func (SnapshotRestored) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_restored", Level: logevent.Info, Message: "a snapshot was restored"}
}

// SnapshotIgnored reports that the start goes on without the snapshot that there is.
type SnapshotIgnored struct {
	Cause error `log:"cause"`
}

// Kind returns the event's name and level.
func (SnapshotIgnored) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_ignored", Level: logevent.Warn, Message: "the snapshot is not used"}
}

// SnapshotWriteFailed reports that snapshots can't be written from now on. The file as it was stays.
type SnapshotWriteFailed struct {
	Cause error `log:"cause"`
}

// Kind returns the event's name and level.
func (SnapshotWriteFailed) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_write_failed", Level: logevent.Warn, Message: "snapshots are not written"}
}

// SnapshotWriteRecovered ends SnapshotWriteFailed.
type SnapshotWriteRecovered struct{}

// Kind returns the event's name and level.
func (SnapshotWriteRecovered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "snapshot_write_recovered",
		Level:   logevent.Info,
		Message: "snapshots are written again",
	}
}

// ConfigReloaded reports that a newer configuration was read.
type ConfigReloaded struct {
	DiscoveryAddress string `log:"discovery_address"`
	// RestartRequired is what else has changed, and is in force after a restart only.
	RestartRequired string `log:"restart_required,omitempty"`
}

// Kind returns the event's name and level.
func (ConfigReloaded) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_reloaded",
		Level:   logevent.Info,
		Message: "the configuration was read again",
	}
}

// ConfigRejected reports that a newer configuration can't be used. Nothing of it is in force.
type ConfigRejected struct {
	Cause error `log:"cause"`
}

// Kind returns the event's name and level.
func (ConfigRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_rejected",
		Level:   logevent.Warn,
		Message: "the configuration stays as it was",
	}
}

// ConfigLoadDelayed reports that a newer configuration can't be read for want of descriptors or memory. It
// is tried again until it can.
type ConfigLoadDelayed struct {
	Cause error `log:"cause"`
}

// Kind returns the event's name and level.
func (ConfigLoadDelayed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_load_delayed",
		Level:   logevent.Warn,
		Message: "the configuration is read as soon as it can be",
	}
}

// OperatorConfigNeedsRestart reports that a newer operator's file differs in what is in force only after a
// restart.
type OperatorConfigNeedsRestart struct {
	Parts string `log:"parts"` // of the file, some of which differ
}

// Kind returns the event's name and level.
func (OperatorConfigNeedsRestart) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "operator_config_needs_restart",
		Level:   logevent.Warn,
		Message: "parts of the operator's file are in force after a restart only",
	}
}

// ClusterMessageIgnored reports a message of another instance that can't be read.
type ClusterMessageIgnored struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
}

// Kind returns the event's name and level.
func (ClusterMessageIgnored) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_message_ignored",
		Level:   logevent.Warn,
		Message: "a message of another instance can't be read",
	}
}

// ClusterMessageNotSent reports a message to another instance that can't be encoded.
type ClusterMessageNotSent struct {
	Member string `log:"member"`
	Cause  error  `log:"cause"`
}

// Kind returns the event's name and level.
func (ClusterMessageNotSent) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_message_not_sent",
		Level:   logevent.Error,
		Message: "a message to another instance can't be encoded",
	}
}
