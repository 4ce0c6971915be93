package operatorconfig

import (
	"net/netip"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig/sexpr"
	"time"

	"go4.org/netipx"
)

// Fleet is how instances talk and share periodic tasks.
type Fleet struct {
	Name      string // of this instance
	Listen    string // where this instance accepts connections of others
	Weight    float64
	Instances []membership.Contact
	Voters    lease.Voters
	Slots     int
	Lease     int64   // ns
	Renewal   int64   // ns
	Drift     float64 // by which share a clock's rate may be off
	Members   cluster.MembershipConfig
	TLS       peer.KeyFiles
	Allow     *netipx.IPSet // addresses from and to which connections are allowed
	Probe     *probe.Config // nil: there are no health checks; what endpoints take while they warm up is the settings' to say

	probePosition sexpr.Position
}

// Values of (fleet …) that stand for those that a file does not have.
const (
	defaultWeight   = 1.0
	defaultSlots    = 64
	defaultLease    = 1500 * time.Millisecond
	defaultRenewal  = 500 * time.Millisecond
	defaultMaxDrift = 0.01
	defaultEpoch    = 1
)

// Limits of the values of (fleet …).
const (
	maxEpoch   = 1 << 40
	minLease   = 100 * time.Millisecond
	minRenewal = 20 * time.Millisecond
	maxLease   = time.Hour // and of a renewal
	maxDrift   = 0.1
	minWeight  = 0.01
	maxWeight  = 1000

	minHeartbeatInterval = 20 * time.Millisecond
	maxHeartbeatInterval = time.Minute
	minSilenceTimeout    = 50 * time.Millisecond
	maxSilenceTimeout    = time.Hour
)

// instance is one line of (instances …).
type instance struct {
	position sexpr.Position
	name     string
	address  netip.AddrPort
	weight   float64
}

// fleetPositions are where the lists of (fleet …) stand, for errors that are about several of them. One that is
// missing is zero.
type fleetPositions struct {
	fleet, listen, voters, lease, renewal, tls, allow, probe, membership sexpr.Position
}

// fleetLists are the lists of (fleet …) as decoded, before they are checked against each other.
type fleetLists struct {
	fleet     *Fleet
	positions fleetPositions
	instances []instance
	listen    netip.AddrPort
	allowed   netipx.IPSetBuilder
	slots     int64
	epoch     int64
}

// fleet decodes how instances talk and share periodic tasks.
func (d *decoder) fleet(into **Fleet, name, folder string) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		lists := &fleetLists{
			fleet: &Fleet{
				Name:    name,
				Weight:  defaultWeight,
				Lease:   int64(defaultLease),
				Renewal: int64(defaultRenewal),
				Drift:   defaultMaxDrift,
			},
			positions: fleetPositions{fleet: list.Position},
			slots:     defaultSlots,
			epoch:     defaultEpoch,
		}
		*into = lists.fleet
		d.section(list, arguments, d.fleetSection(lists))
		lists.finish(folder)
		allowed, err := lists.allowed.IPSet()
		if err != nil {
			d.errors.addf(lists.positions.allow, "%v", err)
			return
		}
		lists.fleet.Allow = allowed
		d.checkFleet(lists)
	}
}

// fleetSection returns the keys of (fleet …).
func (d *decoder) fleetSection(lists *fleetLists) section {
	fleet, positions := lists.fleet, &lists.positions
	return section{
		"instances":  {required: true, decode: d.instances(&lists.instances)},
		"listen":     {decode: at(&positions.listen, d.address(&lists.listen))},
		"voters":     {required: true, decode: at(&positions.voters, d.voters(lists))},
		"slots":      {decode: d.integer(&lists.slots, 1, lease.MaxSlots)},
		"lease":      {decode: at(&positions.lease, d.duration(&fleet.Lease, minLease, maxLease))},
		"renewal":    {decode: at(&positions.renewal, d.duration(&fleet.Renewal, minRenewal, maxLease))},
		"drift":      {decode: d.number(&fleet.Drift, 0, maxDrift)},
		"tls":        {required: true, decode: at(&positions.tls, d.keyFiles(&fleet.TLS))},
		"allow":      {required: true, decode: at(&positions.allow, d.allowed(&lists.allowed))},
		"probe":      {decode: at(&positions.probe, d.probe(&fleet.Probe))},
		"membership": {decode: at(&positions.membership, d.membership(&fleet.Members))},
	}
}

// finish takes over what was decoded into other types than the fleet's.
func (l *fleetLists) finish(folder string) {
	l.fleet.Slots = int(l.slots)
	l.fleet.Voters.Epoch = uint64(l.epoch)
	l.fleet.probePosition = l.positions.probe
	l.fleet.TLS = peer.KeyFiles{
		Certificate: resolve(folder, l.fleet.TLS.Certificate),
		Key:         resolve(folder, l.fleet.TLS.Key),
		Roots:       resolve(folder, l.fleet.TLS.Roots),
	}
}

// instances decodes the instances that are known by their addresses.
func (d *decoder) instances(into *[]instance) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		if len(arguments) > membership.MaxMembers {
			d.errors.addf(list.Position, "%d instances, %d can be", len(arguments), membership.MaxMembers)
			return
		}
		names := map[string]sexpr.Position{}
		addresses := map[netip.AddrPort]string{}
		for _, item := range arguments {
			decoded, ok := d.instance(item)
			if !ok {
				continue
			}
			if first, twice := names[decoded.name]; twice {
				d.errors.addf(item.Position, "instance %s stands at line %d already", decoded.name, first.Line)
			}
			if other, twice := addresses[decoded.address]; twice && decoded.address.IsValid() {
				d.errors.addf(item.Position, "instance %s has the address of %s", decoded.name, other)
			}
			names[decoded.name] = item.Position
			addresses[decoded.address] = decoded.name
			*into = append(*into, decoded)
		}
	}
}

// instance decodes (instance NAME …).
func (d *decoder) instance(list *sexpr.Node) (decoded instance, ok bool) {
	if list.Head() != "instance" || len(list.List) < 2 || list.List[1].IsList {
		d.errors.addf(list.Position, "%s, where (instance NAME (at ADDRESS)) belongs", list)
		return instance{}, false
	}
	decoded = instance{
		position: list.Position,
		name:     list.List[1].Word,
		weight:   defaultWeight,
	}
	d.section(list, list.List[2:], section{
		"at":     {required: true, decode: d.address(&decoded.address)},
		"weight": {decode: d.number(&decoded.weight, minWeight, maxWeight)},
	})
	return decoded, true
}

// voters decodes whose majority grants leases.
func (d *decoder) voters(lists *fleetLists) decodeFunc {
	voters := &lists.fleet.Voters
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"epoch":  {required: true, decode: d.integer(&lists.epoch, 1, maxEpoch)},
			"now":    {required: true, decode: d.words(&voters.Current)},
			"before": {decode: d.words(&voters.Previous)},
		})
	}
}

func (d *decoder) keyFiles(into *peer.KeyFiles) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"certificate": {required: true, decode: d.text(&into.Certificate)},
			"key":         {required: true, decode: d.text(&into.Key)},
			"roots":       {required: true, decode: d.text(&into.Roots)},
		})
	}
}

// allowed decodes addresses, networks and ranges of addresses.
func (d *decoder) allowed(into *netipx.IPSetBuilder) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		for _, value := range arguments {
			if value.IsList || !d.allow(value, into) {
				d.errors.addWrongKind(list.Head(), value, kindNetworks)
			}
		}
	}
}

// allow adds one address, network or range. It returns false for anything else.
func (d *decoder) allow(value *sexpr.Node, into *netipx.IPSetBuilder) bool {
	if prefix, err := netip.ParsePrefix(value.Word); err == nil {
		if prefix != prefix.Masked() {
			d.errors.addf(value.Position, "%s has bits behind its length; %s is meant", value, prefix.Masked())
		}
		into.AddPrefix(prefix)
		return true
	}
	if addresses, err := netipx.ParseIPRange(value.Word); err == nil {
		into.AddRange(addresses)
		return true
	}
	if address, err := netip.ParseAddr(value.Word); err == nil {
		into.Add(address)
		return true
	}
	return false
}

// membership decodes how instances watch each other.
func (d *decoder) membership(into *cluster.MembershipConfig) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"interval": {decode: d.duration(&into.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval)},
			"silence":  {decode: d.duration(&into.SilenceTimeout, minSilenceTimeout, maxSilenceTimeout)},
		})
	}
}
