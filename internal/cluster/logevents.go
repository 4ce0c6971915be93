package cluster

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each type of event that this package logs.
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

// MemberAlive reports that this instance now believes another instance alive.
type MemberAlive struct {
	Member   string `log:"member"`
	Previous string `log:"previous"` // the member's state until now: "unheard", "alive", "dead" or "left"
	Cause    string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (MemberAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_alive", Level: logevent.Info, Message: "another instance is alive"}
}

// MemberDead reports that this instance now believes another instance dead.
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

// MembersAlive is logged in place of the MemberAlive events if more than maxChangesLogged instances with the same
// previous state are found alive at once.
type MembersAlive struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind implements logevent.Event.
func (MembersAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_alive", Level: logevent.Info, Message: "many other instances are alive"}
}

// MembersDead is logged in place of the MemberDead events if more than maxChangesLogged instances with the same
// previous state are believed dead at once.
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

// MembersLeft is logged in place of the MemberLeft events if more than maxChangesLogged instances with the same
// previous state leave at once.
type MembersLeft struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind implements logevent.Event.
func (MembersLeft) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_left", Level: logevent.Info, Message: "many other instances have left"}
}

// InstanceWasAway reports that this instance was paused for a heartbeat interval or longer. During the pause it could
// not hear the other instances, so it does not take them for silent.
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

// InstanceCutOff reports that heartbeats no longer arrive from any of the neighbours that this instance watches.
type InstanceCutOff struct{}

// Kind implements logevent.Event.
func (InstanceCutOff) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_cut_off",
		Level:   logevent.Error,
		Message: "no heartbeats from any neighbour: this instance seems to be cut off",
	}
}

// InstanceReconnected reports that heartbeats arrive again after an InstanceCutOff.
type InstanceReconnected struct{}

// Kind implements logevent.Event.
func (InstanceReconnected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_reconnected",
		Level:   logevent.Info,
		Message: "heartbeats from neighbours are received again",
	}
}

// DuplicateNameDetected reports that a second instance runs under this instance's name. This instance does not vote
// until it has heard nothing from the second one for lease.Config.RestartSilence.
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

// DuplicateNameGone reports that the second instance that a DuplicateNameDetected reported has not been heard from for
// lease.Config.RestartSilence.
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

// LeasesAcquired reports that this instance now holds the leases on these slots, all under one ballot.
type LeasesAcquired struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
}

// Kind implements logevent.Event.
func (LeasesAcquired) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_acquired", Level: logevent.Info, Message: "leases acquired"}
}

// LeasesLost reports that this instance no longer holds the leases on these slots, which it held under one ballot.
type LeasesLost struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
	Cause  string `log:"cause,omitempty"`
}

// Kind implements logevent.Event.
func (LeasesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_lost", Level: logevent.Info, Message: "leases lost"}
}

// QuorumReached reports that a quorum of the voters answers this instance or is believed alive.
type QuorumReached struct{}

// Kind implements logevent.Event.
func (QuorumReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_reached",
		Level:   logevent.Info,
		Message: "a majority of the voters is reachable",
	}
}

// QuorumLost reports that no quorum of the voters answers this instance or is believed alive. Until one does, this
// instance cannot hold leases.
type QuorumLost struct {
	MissingVoters string `log:"missing_voters"` // the current voters that are not believed alive, each with its state
}

// Kind implements logevent.Event.
func (QuorumLost) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_lost",
		Level:   logevent.Error,
		Message: "no majority of the voters is reachable: this instance holds no leases",
	}
}

// VotersKept reports that the voters of a reloaded operator's file are invalid or cannot take effect yet, so that the
// voters in force stay.
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

// ConfigReloaded reports that this instance now uses the cluster settings of a reloaded operator's file.
type ConfigReloaded struct {
	Instances  int    `log:"instances"`
	VoterEpoch uint64 `log:"voter_epoch"` // epoch of the voters in force after the reload
}

// Kind implements logevent.Event.
func (ConfigReloaded) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_config_reloaded",
		Level:   logevent.Info,
		Message: "instances, keys, address sets and voters of the operator's file are in force",
	}
}
