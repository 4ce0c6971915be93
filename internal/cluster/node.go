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

// minTimer is the shortest duration that the timer is set to, ns.
const minTimer = int64(time.Millisecond)

// Config is the initial configuration of an instance.
type Config struct {
	Self       lease.Instance
	Address    string               // where this instance accepts links
	Weight     float64              // this instance's share of the leases, relative to others
	Contacts   []membership.Contact // the instances of the operator's file, with or without this instance
	Lease      lease.Config         // New sets Self and Seed to those of this Config
	Probe      *probe.Config        // nil: nothing is probed; New sets Slots and MaxClockDrift to those of Lease
	Seed       uint64               // of random numbers
	WallMS     int64                // wall clock at the start, ms since 1970
	Membership MembershipConfig     // zero: derived from the renewal interval of leases
}

// MembershipConfig sets how members detect failures of each other.
type MembershipConfig struct {
	HeartbeatInterval int64 // ns; 0 is the renewal interval of leases
	SilenceTimeout    int64 // after which a silent neighbour is reported, ns; 0 is three heartbeat intervals
}

// Node is the cluster state of one instance.
type Node struct {
	config       Config
	startedAt    int64
	shuttingDown bool
	effects      []Effect

	members     *membership.Table
	viewVersion uint64 // the version of members that was last passed to leases and peers
	duplicated  bool   // another instance runs under this instance's name
	peers       peers

	leases       *lease.Node
	tasks        []periodicTask
	hadQuorum    bool
	quorumLogged bool // whether hadQuorum has been logged

	prober  *probe.Prober // nil: nothing is probed
	results probeResults
}

// New returns a node. If the configuration is invalid, it returns the error of the first invalid part.
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

// Handle processes an event and returns the effects to carry out, in order. The slice is valid until the next
// call.
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

// receive passes the parts of a message from another instance to the components that they are for.
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

// tick runs the timed work of all parts.
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

// shutDown hands all leases to successors and announces to the other instances that this one leaves.
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

// reconfigure applies a reloaded configuration. If the new voters are invalid or cannot replace the present ones yet,
// the present ones are kept.
func (node *Node) reconfigure(now int64, event ConfigChanged) {
	if err := node.leases.UpdateVoters(now, event.Voters); err != nil {
		node.emit(Log{VotersKept{Cause: err}})
	}
	node.members.Configure(now, event.Contacts, event.Weight, node.leases.Voters().Epoch)
	for _, member := range node.members.Members() {
		// A new set of voters starts without the members' epochs, and members send their entries only on changes.
		node.leases.ObserveEpoch(member.Name, member.Epoch)
	}
	node.emit(Log{ConfigReloaded{Instances: len(event.Contacts), VoterEpoch: node.leases.Voters().Epoch}})
}

// followUp handles the consequences of changed members and leases, runs due tasks and sets the timer.
func (node *Node) followUp(now int64) {
	node.updateMembers(now)
	node.applyLeaseEffects(now)
	next := min(node.leases.Next(), node.members.Next())
	if !node.shuttingDown {
		next = min(next, node.runTasks(now))
	}
	node.emit(SetTimer{At: max(next, now+minTimer)})
}
