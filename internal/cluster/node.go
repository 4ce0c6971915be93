// Package cluster coordinates the instances of a cluster as one reducer: it takes events, changes its state and
// returns effects. It combines membership (which instances are alive), lease (which instance holds the lease on
// each slot) and probe (when each target is probed). It does no input or output, reads no clock and is not safe
// for concurrent use. Times are ns of a monotonic clock that also advances while the machine is suspended.
package cluster

import (
	"cmp"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

// minTimer is the shortest time from now for which the timer is set, ns.
const minTimer = int64(time.Millisecond)

// Config is the configuration with which an instance starts.
type Config struct {
	Self     lease.Instance
	Address  string               // IP address and port at which this instance accepts links
	Weight   float64              // this instance's share of the leases, in proportion to all weights
	Contacts []membership.Contact // instances named in the operator's file; may include this one
	Lease    lease.Config         // lease settings; New sets Self and Seed to those of this Config
	// Probe settings; nil: this instance probes nothing. New sets Slots and MaxClockDrift to those of Lease.
	Probe      *probe.Config
	Seed       uint64           // seed of the random numbers of leases and membership
	WallMS     int64            // wall clock at the start, ms since 1970
	Membership MembershipConfig // failure detection; zero values have defaults
}

// MembershipConfig sets how fast members detect that another one has failed.
type MembershipConfig struct {
	HeartbeatInterval int64 // time between two heartbeats, ns; 0: the renewal interval of leases
	SilenceTimeout    int64 // a neighbour silent for longer is reported, ns; 0: three heartbeat intervals
}

// Node is the cluster state of one instance.
type Node struct {
	config       Config
	startedAt    int64
	shuttingDown bool
	effects      []Effect

	members     *membership.Table
	viewVersion uint64 // members.Version() when leases and peers were last updated from members
	duplicated  bool   // a second instance runs under this instance's name
	peers       peers

	leases       *lease.Node
	tasks        []periodicTask
	hadQuorum    bool
	quorumLogged bool // hadQuorum has been logged at least once

	prober  *probe.Prober // nil: this instance probes nothing
	results probeResults
}

// New returns a node that starts at now. It returns an error if the lease or the probe settings are invalid.
func New(now int64, config Config) (*Node, error) {
	config.Lease.Self, config.Lease.Seed = config.Self, config.Seed
	leases, err := lease.New(now, config.Lease)
	if err != nil {
		return nil, err
	}
	node := &Node{
		config: config, startedAt: now, leases: leases,
		members: membership.New(now, config.membershipConfig()),
		peers:   newPeers(),
		results: newProbeResults(),
	}
	if config.Probe == nil {
		return node, nil
	}
	if err := config.Probe.Check(); err != nil {
		return nil, err
	}
	config.Probe.Slots, config.Probe.MaxClockDrift = config.Lease.Slots, config.Lease.MaxClockDrift
	node.prober = probe.New(*config.Probe)
	node.tasks = append(node.tasks, probeTask{node.prober})
	return node, nil
}

// membershipConfig returns the configuration of the membership table.
func (config Config) membershipConfig() membership.Config {
	interval := cmp.Or(config.Membership.HeartbeatInterval, config.Lease.RenewInterval)
	return membership.Config{
		Self: membership.Entry{
			Name: config.Self.Name, Incarnation: config.Self.Incarnation, Start: uint64(max(1, config.WallMS)),
			Address: config.Address, Weight: config.Weight, Epoch: config.Lease.Voters.Epoch,
		},
		Contacts:          config.Contacts,
		HeartbeatInterval: interval,
		SilenceTimeout:    config.Membership.SilenceTimeout,
		ReplacedTimeout:   config.Lease.RestartSilence(),
		Seed:              config.Seed,
		NextHeartbeat:     func(now int64) int64 { return lease.NextTick(now, config.Self.Name, interval) },
	}
}

// Handle processes an event and returns the effects to carry out, in this order. The slice is valid until the next
// call of Handle.
func (node *Node) Handle(now int64, event Event) []Effect {
	clear(node.effects)
	node.effects = node.effects[:0]
	switch event := event.(type) {
	case MessageReceived:
		node.receive(now, event)
	case TargetsUpdated:
		if node.prober != nil {
			node.prober.SetTargets(now, event.Targets)
		}
	case ProbeEnded:
		node.endProbe(now, event.ProbeResult)
	case TimerFired:
		node.tick(now, event.WallMS)
	case ShutdownStarted:
		node.shutDown(now)
	case ConfigChanged:
		node.reconfigure(now, event)
	}
	node.followUp(now)
	node.effects = combine(node.effects)
	return node.effects
}

func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

// receive hands each part of a message to the component for it: gossip to the membership table, lease messages to the
// lease node, and probe results to the router.
func (node *Node) receive(now int64, event MessageReceived) {
	from := event.From
	node.members.ObserveIncarnation(now, from.Name, from.Incarnation)
	if gossip := event.Message.Gossip; gossip != nil {
		node.receiveGossip(now, from.Name, *gossip)
	}
	node.leases.ObserveBallot(event.Message.HighestBallot)
	if message := event.Message.Lease; message != nil {
		node.receiveLeaseMessage(now, from, *message)
	}
	for _, result := range event.Message.ProbeResults {
		node.receiveProbeResult(result)
	}
}

// tick does the work that is due at now in the membership table, the lease node and the queue of probe results, and
// logs changes of the duplicate name and of the quorum.
func (node *Node) tick(now, wallMS int64) {
	sends, changes := node.members.Tick(now)
	node.logChanges(changes)
	node.updateMembers(now)
	node.sendGossip(sends)
	node.leases.Tick(now, wallMS)
	node.sendProbeResults(now)
	node.logDuplicate(now)
	node.logQuorum(now)
}

// shutDown releases all leases, names successors for them, and announces to the other instances that this one leaves.
// It does nothing when called again.
func (node *Node) shutDown(now int64) {
	if node.shuttingDown {
		return
	}
	node.shuttingDown = true
	sends := node.members.Leave(now)
	node.leases.ReleaseAll(candidates(node.members.Alive()))
	node.applyLeaseEffects(now)
	node.sendGossip(sends)
}

// reconfigure applies a reloaded configuration. If the new voters are invalid or cannot replace those in force yet,
// those in force stay and the rest of the configuration is applied.
func (node *Node) reconfigure(now int64, event ConfigChanged) {
	if err := node.leases.UpdateVoters(now, event.Voters); err != nil {
		node.emit(Log{VotersKept{Cause: err}})
	}
	node.members.Configure(now, event.Contacts, event.Weight, node.leases.Voters().Epoch)
	for _, member := range node.members.Members() {
		// Epochs of the previous voters were discarded, and a member sends its entry again only when it changes.
		node.leases.ObserveEpoch(member.Name, member.Epoch)
	}
	node.emit(Log{ConfigReloaded{Instances: len(event.Contacts), VoterEpoch: node.leases.Voters().Epoch}})
}

// followUp passes on changes of members and leases, runs the periodic tasks that are due, and sets the timer to the
// time at which work is next due.
func (node *Node) followUp(now int64) {
	node.updateMembers(now)
	node.applyLeaseEffects(now)
	next := min(node.leases.Next(), node.members.Next())
	if !node.shuttingDown {
		next = min(next, node.runTasks(now))
	}
	node.emit(SetTimer{At: max(next, now+minTimer)})
}
