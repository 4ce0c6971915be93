// Package cluster is what instances decide together, as one reducer: an event goes in, state changes, effects
// come out. It joins which instances are there (membership), who holds the lease on which slot (lease) and
// what is probed when (probe). It does no input or output, reads no clock and is not safe for concurrent use.
// Times are ns of a clock that goes on while the machine is suspended and never goes back.
package cluster

import (
	"cmp"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

// minTimer is the shortest time to which the timer is set, ns.
const minTimer = int64(time.Millisecond)

// Config is what an instance starts with.
type Config struct {
	Self       lease.Instance
	Address    string // where it takes links
	Weight     float64
	Contacts   []membership.Contact // the instances of the file, the own one among them or not
	Lease      lease.Config         // Self and Seed are filled in from here
	Probe      *probe.Config        // nil: nothing is probed; Slots and Drift are filled in from Lease
	Seed       uint64
	WallMS     int64            // ms since 1970, at the start
	Membership MembershipConfig // zero: as of the renewals
}

// MembershipConfig is how members watch each other.
type MembershipConfig struct {
	HeartbeatInterval int64 // ns; 0 is the renewal interval of leases
	SilenceTimeout    int64 // without a sign from which one is reported, ns; 0 is three intervals
}

// Node is one instance.
type Node struct {
	config       Config
	startedAt    int64
	shuttingDown bool
	effects      []Effect

	members     *membership.Table
	viewVersion uint64 // of the members' table, as far as it was handed on
	duplicated  bool   // another start under the own name was heard
	peers       peers

	leases      *lease.Node
	tasks       []periodicTask
	hadQuorum   bool
	quorumKnown bool // whether it was ever logged that there is or is no quorum

	prober  *probe.Prober // nil: nothing is probed
	results probeResults
}

// New makes a node. It returns the error of the first configuration that is wrong.
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
	node.tasks = append(node.tasks, probing{node.prober})
	return node, nil
}

// membershipConfig is what the members' table starts with.
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

// Handle takes an event and returns what is to be done, in order; the slice is good until the next call.
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

// receive takes a message from another instance.
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

// tick does the periodic work.
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

// shutDown releases all leases to successors and announces to the others that this instance leaves.
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

// reconfigure takes a newer configuration. The voters stay as they are where the newer ones can't follow yet.
func (node *Node) reconfigure(now int64, event ConfigChanged) {
	if err := node.leases.UpdateVoters(now, event.Voters); err != nil {
		node.emit(Log{VotersKept{Cause: err}})
	}
	node.members.Configure(now, event.Contacts, event.Weight, node.leases.Voters().Epoch)
	for _, member := range node.members.Members() {
		// A new set of voters knows of no epochs, and entries come only when they change.
		node.leases.ObserveEpoch(member.Name, member.Epoch)
	}
	node.emit(Log{ConfigReloaded{Instances: len(event.Contacts), VoterEpoch: node.leases.Voters().Epoch}})
}

// followUp does what changes of members and leases cause, and sets the timer.
func (node *Node) followUp(now int64) {
	node.updateMembers(now)
	node.applyLeaseEffects(now)
	next := min(node.leases.Next(), node.members.Next())
	if !node.shuttingDown {
		next = min(next, node.runTasks(now))
	}
	node.emit(SetTimer{At: max(next, now+minTimer)})
}
