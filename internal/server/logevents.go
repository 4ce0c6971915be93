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
		OperatorConfigRejected{},
		OperatorSectionIgnored{},
		OperatorConfigNeedsRestart{},
		ClusterMessageIgnored{},
		ClusterMessageNotSent{},
	}
}

// PhaseChanged is logged when the server enters a phase of its life, from its start to its exit.
type PhaseChanged struct {
	Phase string `log:"phase"` // starting, serving, draining or stopped
}

// Kind returns the name, level and message that all events of this type have.
func (PhaseChanged) Kind() logevent.Kind {
	return logevent.Kind{Name: "server_phase_changed", Level: logevent.Info, Message: "the server entered a phase"}
}

// StartupPhaseChanged is logged when the startup of a router enters its next phase.
type StartupPhaseChanged struct {
	// Phase is listed (an endpoint list is known), warming (the discovery service has answered, and request rates
	// are being measured) or whole (request rates were measured for long enough).
	Phase string `log:"phase"`
}

// Kind returns the name, level and message that all events of this type have.
func (StartupPhaseChanged) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "startup_phase_changed",
		Level:   logevent.Info,
		Message: "the startup entered its next phase",
	}
}

// SnapshotRestored is logged at a start that uses the stored snapshot of an earlier process.
type SnapshotRestored struct {
	// Objects is the number of objects with request rates in the snapshot.
	Objects int `log:"objects"`
	// Scope is how much of the snapshot is used: whole, or beliefs, which is everything but request rates.
	Scope string `log:"scope"`
	// Cause is the reason why only a part of the snapshot is used; absent if all of it is used.
	Cause error `log:"cause,omitempty"`
	// Endpoints is the number of endpoints in the snapshot's list, which is used only if the discovery service
	// confirms it; absent if the snapshot has no usable list or the configuration contains one.
	Endpoints int `log:"endpoints,omitempty"`
	// ConfirmedBy is the position of the watch event that confirms the endpoint list if the service sends it again.
	ConfirmedBy int64 `log:"confirmed_by,omitempty"`
}

// Kind returns the name, level and message that all events of this type have.
func (SnapshotRestored) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_restored", Level: logevent.Info, Message: "a snapshot was restored"}
}

// SnapshotIgnored is logged at a start that can't use the stored snapshot of an earlier process.
type SnapshotIgnored struct {
	Cause error `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (SnapshotIgnored) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_ignored", Level: logevent.Warn, Message: "the snapshot is not used"}
}

// SnapshotWriteFailed is logged when writing snapshots begins to fail. The file of the last successful write stays as
// it is.
type SnapshotWriteFailed struct {
	Cause error `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (SnapshotWriteFailed) Kind() logevent.Kind {
	return logevent.Kind{Name: "snapshot_write_failed", Level: logevent.Warn, Message: "snapshots can't be written"}
}

// SnapshotWriteRecovered is logged when a snapshot is written again after SnapshotWriteFailed.
type SnapshotWriteRecovered struct{}

// Kind returns the name, level and message that all events of this type have.
func (SnapshotWriteRecovered) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "snapshot_write_recovered",
		Level:   logevent.Info,
		Message: "snapshots are written again",
	}
}

// ConfigReloaded is logged after a reload has applied the parts of the configuration that a running server can change.
type ConfigReloaded struct {
	DiscoveryAddress string `log:"discovery_address"` // address of the discovery service, used from now on
	// RestartRequired names the other parts that have changed and take effect only after a restart.
	RestartRequired string `log:"restart_required,omitempty"`
}

// Kind returns the name, level and message that all events of this type have.
func (ConfigReloaded) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_reloaded",
		Level:   logevent.Info,
		Message: "the configuration was reloaded",
	}
}

// ConfigRejected is logged when a reload finds a configuration that can't be used. Nothing of it is applied.
type ConfigRejected struct {
	Cause error `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (ConfigRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_rejected",
		Level:   logevent.Warn,
		Message: "the new configuration was rejected, the previous one stays in force",
	}
}

// OperatorConfigRejected is logged when a reload finds an operator's file that can't be used. The configuration is
// applied without it.
type OperatorConfigRejected struct {
	Cause error `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (OperatorConfigRejected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "operator_config_rejected",
		Level:   logevent.Warn,
		Message: "the new operator's file was rejected, the previous one stays in force",
	}
}

// OperatorSectionIgnored is logged at a start or a reload for each section of the operator's file that does not fit the
// platform's configuration.
type OperatorSectionIgnored struct {
	Section string `log:"section"` // start, links, idle or probe
	Cause   error  `log:"cause"`   // position in the file and reason
	// InForce is what is in force in place of the section: off, or as at the start, after a reload.
	InForce string `log:"in_force"`
}

// Kind returns the name, level and message that all events of this type have.
func (OperatorSectionIgnored) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "operator_section_ignored",
		Level:   logevent.Warn,
		Message: "a section of the operator's file does not fit the configuration",
	}
}

// ConfigLoadDelayed is logged when a reload can't read its files because this machine lacks descriptors or memory. The
// reload is retried until they can be read.
type ConfigLoadDelayed struct {
	Cause error `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (ConfigLoadDelayed) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "config_load_delayed",
		Level:   logevent.Warn,
		Message: "the configuration can't be read yet, retrying",
	}
}

// OperatorConfigNeedsRestart is logged when a reload finds that the operator's file has changed in parts that take
// effect only after a restart.
type OperatorConfigNeedsRestart struct {
	Parts string `log:"parts"` // names of the parts that were compared, at least one of which has changed
}

// Kind returns the name, level and message that all events of this type have.
func (OperatorConfigNeedsRestart) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "operator_config_needs_restart",
		Level:   logevent.Warn,
		Message: "changes of the operator's file need a restart",
	}
}

// ClusterMessageIgnored is logged for a message from another instance that can't be decoded.
type ClusterMessageIgnored struct {
	Member string `log:"member"` // name of the sender
	Cause  error  `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (ClusterMessageIgnored) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_message_ignored",
		Level:   logevent.Warn,
		Message: "a message of another instance can't be decoded",
	}
}

// ClusterMessageNotSent is logged for a message to another instance that can't be encoded.
type ClusterMessageNotSent struct {
	Member string `log:"member"` // name of the instance to which it was addressed
	Cause  error  `log:"cause"`
}

// Kind returns the name, level and message that all events of this type have.
func (ClusterMessageNotSent) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_message_not_sent",
		Level:   logevent.Error,
		Message: "a message to another instance can't be encoded",
	}
}
