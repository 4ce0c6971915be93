package cluster

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event {
	return []logevent.Event{
		MemberAlive{},
		MemberDead{},
		MemberLeft{},
		MembersAlive{},
		MembersDead{},
		MembersLeft{},
		InstanceWasAway{},
		InstanceCutOff{},
		InstanceReconnected{},
		DuplicateNameDetected{},
		DuplicateNameGone{},
		LeasesAcquired{},
		LeasesLost{},
		QuorumReached{},
		QuorumLost{},
		VotersKept{},
		ConfigReloaded{},
	}
}

// MemberAlive reports that another instance is now believed alive.
type MemberAlive struct {
	Member   string `log:"member"`
	Previous string `log:"previous"` // the member's state before the change
	Cause    string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (MemberAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_alive", Level: logevent.Info, Message: "another instance is alive"}
}

// MemberDead reports that another instance is now believed dead.
type MemberDead struct {
	Member   string `log:"member"`
	Previous string `log:"previous"`
	Cause    string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (MemberDead) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_dead", Level: logevent.Warn, Message: "another instance is believed dead"}
}

// MemberLeft reports that another instance has announced that it shuts down.
type MemberLeft struct {
	Member   string `log:"member"`
	Previous string `log:"previous"`
	Cause    string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (MemberLeft) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_left", Level: logevent.Info, Message: "another instance has left"}
}

// MembersAlive replaces the MemberAlive events of more than maxChangesLogged instances that change at once.
type MembersAlive struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind implements logevent.Event.
func (MembersAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_alive", Level: logevent.Info, Message: "many other instances are alive"}
}

// MembersDead replaces the MemberDead events of more than maxChangesLogged instances that change at once.
type MembersDead struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind implements logevent.Event.
func (MembersDead) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "members_dead",
		Level:   logevent.Warn,
		Message: "many other instances are believed dead",
	}
}

// MembersLeft replaces the MemberLeft events of more than maxChangesLogged instances that change at once.
type MembersLeft struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind implements logevent.Event.
func (MembersLeft) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_left", Level: logevent.Info, Message: "many other instances have left"}
}

// InstanceWasAway reports that this instance was paused for a heartbeat interval or longer. It does not count the time
// of the pause as silence of other instances.
type InstanceWasAway struct {
	DurationMS int64 `log:"duration_ms"`
}

// Kind implements logevent.Event.
func (InstanceWasAway) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_was_away",
		Level:   logevent.Warn,
		Message: "this instance did not run for a while",
	}
}

// InstanceCutOff reports that this instance no longer receives heartbeats from any neighbour.
type InstanceCutOff struct{}

// Kind implements logevent.Event.
func (InstanceCutOff) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_cut_off",
		Level:   logevent.Error,
		Message: "no heartbeats from any neighbour: this instance seems to be cut off",
	}
}

// InstanceReconnected reports that the condition of InstanceCutOff has ended.
type InstanceReconnected struct{}

// Kind implements logevent.Event.
func (InstanceReconnected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_reconnected",
		Level:   logevent.Info,
		Message: "heartbeats from neighbours are received again",
	}
}

// DuplicateNameDetected reports that a second instance runs under this instance's name. This instance does not
// vote until nothing has been heard from the other one for lease.Config.RestartSilence.
type DuplicateNameDetected struct {
	Member string `log:"member"` // the name that both use
}

// Kind implements logevent.Event.
func (DuplicateNameDetected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "duplicate_name_detected",
		Level:   logevent.Warn,
		Message: "another instance uses this instance's name: this instance does not vote until it is gone",
	}
}

// DuplicateNameGone reports that the condition of DuplicateNameDetected has ended.
type DuplicateNameGone struct {
	Member string `log:"member"`
}

// Kind implements logevent.Event.
func (DuplicateNameGone) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "duplicate_name_gone",
		Level:   logevent.Info,
		Message: "no other instance uses this instance's name any more",
	}
}

// LeasesAcquired reports slots whose leases this instance now holds.
type LeasesAcquired struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
}

// Kind implements logevent.Event.
func (LeasesAcquired) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_acquired", Level: logevent.Info, Message: "leases acquired"}
}

// LeasesLost reports slots whose leases this instance no longer holds.
type LeasesLost struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
	Cause  string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (LeasesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_lost", Level: logevent.Info, Message: "leases lost"}
}

// QuorumReached reports that a majority of the voters is reachable.
type QuorumReached struct{}

// Kind implements logevent.Event.
func (QuorumReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_reached",
		Level:   logevent.Info,
		Message: "a majority of the voters is reachable",
	}
}

// QuorumLost reports that no majority of the voters is reachable. Until one is, this instance cannot hold leases.
type QuorumLost struct {
	MissingVoters string `log:"missing_voters"` // the voters not believed alive, each with its state
}

// Kind implements logevent.Event.
func (QuorumLost) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_lost",
		Level:   logevent.Error,
		Message: "no majority of the voters is reachable: this instance holds no leases",
	}
}

// VotersKept reports that the voters of a reloaded operator's file are invalid or cannot replace those in force yet.
type VotersKept struct {
	Cause error `log:"cause"`
}

// Kind implements logevent.Event.
func (VotersKept) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "voters_kept",
		Level:   logevent.Warn,
		Message: "the new voters are not accepted: the previous voters stay in force",
	}
}

// ConfigReloaded reports that the cluster's part of a reloaded operator's file is in force.
type ConfigReloaded struct {
	Instances  int    `log:"instances"`
	VoterEpoch uint64 `log:"voter_epoch"` // the epoch of the voters in force
}

// Kind implements logevent.Event.
func (ConfigReloaded) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_config_reloaded",
		Level:   logevent.Info,
		Message: "instances, keys, address sets and voters of the operator's file are in force",
	}
}
