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

// MemberAlive reports that another instance is believed alive from now on.
type MemberAlive struct {
	Member   string `log:"member"`
	Previous string `log:"previous"` // what it was believed to be before
	Cause    string `log:"cause,omitempty"`
}

// Kind returns the event's name and level.
func (MemberAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_alive", Level: logevent.Info, Message: "another instance is alive"}
}

// MemberDead reports that another instance is believed dead from now on.
type MemberDead struct {
	Member   string `log:"member"`
	Previous string `log:"previous"`
	Cause    string `log:"cause,omitempty"`
}

// Kind returns the event's name and level.
func (MemberDead) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_dead", Level: logevent.Warn, Message: "another instance is believed dead"}
}

// MemberLeft reports that another instance has said that it shuts down.
type MemberLeft struct {
	Member   string `log:"member"`
	Previous string `log:"previous"`
	Cause    string `log:"cause,omitempty"`
}

// Kind returns the event's name and level.
func (MemberLeft) Kind() logevent.Kind {
	return logevent.Kind{Name: "member_left", Level: logevent.Info, Message: "another instance has left"}
}

// MembersAlive is MemberAlive for more than maxChangesLogged instances at once.
type MembersAlive struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind returns the event's name and level.
func (MembersAlive) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_alive", Level: logevent.Info, Message: "many other instances are alive"}
}

// MembersDead is MemberDead for more than maxChangesLogged instances at once.
type MembersDead struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind returns the event's name and level.
func (MembersDead) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "members_dead",
		Level:   logevent.Warn,
		Message: "many other instances are believed dead",
	}
}

// MembersLeft is MemberLeft for more than maxChangesLogged instances at once.
type MembersLeft struct {
	Members  int    `log:"members"`
	Previous string `log:"previous"`
}

// Kind returns the event's name and level.
func (MembersLeft) Kind() logevent.Kind {
	return logevent.Kind{Name: "members_left", Level: logevent.Info, Message: "many other instances have left"}
}

// InstanceWasAway reports that this instance did nothing for longer than a heartbeat interval. No other
// instance is reported for that time.
type InstanceWasAway struct {
	DurationMS int64 `log:"duration_ms"`
}

// Kind returns the event's name and level.
func (InstanceWasAway) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_was_away",
		Level:   logevent.Warn,
		Message: "this instance did not run for a while",
	}
}

// InstanceCutOff reports that heartbeats of no neighbour are received any more.
type InstanceCutOff struct{}

// Kind returns the event's name and level.
func (InstanceCutOff) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "instance_cut_off",
		Level:   logevent.Error,
		Message: "no neighbour is heard: this instance seems to be cut off",
	}
}

// InstanceReconnected ends InstanceCutOff.
type InstanceReconnected struct{}

// Kind returns the event's name and level.
func (InstanceReconnected) Kind() logevent.Kind {
	return logevent.Kind{Name: "instance_reconnected", Level: logevent.Info, Message: "neighbours are heard again"}
}

// DuplicateNameDetected reports that another incarnation under this instance's name was heard. Until it is
// silent no votes are given.
type DuplicateNameDetected struct {
	Member string `log:"member"` // the name
}

// Kind returns the event's name and level.
func (DuplicateNameDetected) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "duplicate_name_detected",
		Level:   logevent.Warn,
		Message: "another incarnation under this name was heard: no votes are given until it is silent",
	}
}

// DuplicateNameGone ends DuplicateNameDetected.
type DuplicateNameGone struct {
	Member string `log:"member"`
}

// Kind returns the event's name and level.
func (DuplicateNameGone) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "duplicate_name_gone",
		Level:   logevent.Info,
		Message: "no other incarnation under this name is heard any more",
	}
}

// LeasesAcquired reports slots whose leases this instance holds from now on.
type LeasesAcquired struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
}

// Kind returns the event's name and level.
func (LeasesAcquired) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_acquired", Level: logevent.Info, Message: "leases acquired"}
}

// LeasesLost reports slots whose leases this instance no longer holds.
type LeasesLost struct {
	Slots  []int  `log:"slots"`
	Ballot uint64 `log:"ballot"`
	Cause  string `log:"cause,omitempty"`
}

// Kind returns the event's name and level.
func (LeasesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "leases_lost", Level: logevent.Info, Message: "leases lost"}
}

// QuorumReached reports that a majority of the voters can be reached.
type QuorumReached struct{}

// Kind returns the event's name and level.
func (QuorumReached) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_reached",
		Level:   logevent.Info,
		Message: "a majority of the voters is reached",
	}
}

// QuorumLost reports that no majority of the voters can be reached: this instance holds no lease until one can.
type QuorumLost struct {
	MissingVoters string `log:"missing_voters"` // with what each is believed to be
}

// Kind returns the event's name and level.
func (QuorumLost) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "quorum_lost",
		Level:   logevent.Error,
		Message: "no majority of the voters is reached: no lease is held here",
	}
}

// VotersKept reports that the voters of a newer operator's file can't follow those in force yet.
type VotersKept struct {
	Cause error `log:"cause"`
}

// Kind returns the event's name and level.
func (VotersKept) Kind() logevent.Kind {
	return logevent.Kind{Name: "voters_kept", Level: logevent.Warn, Message: "the voters stay as they were"}
}

// ConfigReloaded reports that the part of a newer operator's file that instances share is in force.
type ConfigReloaded struct {
	Instances  int    `log:"instances"`
	VoterEpoch uint64 `log:"voter_epoch"` // of the voters in force
}

// Kind returns the event's name and level.
func (ConfigReloaded) Kind() logevent.Kind {
	return logevent.Kind{
		Name:    "cluster_config_reloaded",
		Level:   logevent.Info,
		Message: "instances, keys, address sets and voters of the operator's file are in force",
	}
}
