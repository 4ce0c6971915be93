package operatorconfig

import (
	"net/netip"
	"time"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig/sexpr"

	"go4.org/netipx"
)

// Cluster is the configuration of a cluster: instances that divide periodic tasks among themselves by leases.
type Cluster struct {
	Name            string               // name of this instance
	Listen          string               // address on which this instance accepts connections from other instances
	Weight          float64              // weight of this instance: its share of slots is proportional to it
	Instances       []membership.Contact // all instances, including this one
	Voters          lease.Voters
	Slots           int     // number of slots; each has a lease, and tasks are hashed to slots
	LeaseDuration   int64   // duration of a lease, ns
	RenewalInterval int64   // time between two renewals of a lease, ns
	MaxClockDrift   float64 // maximum relative error of a clock's rate
	Membership      cluster.MembershipConfig
	TLS             peer.KeyFiles
	Allow           *netipx.IPSet // addresses from and to which connections are allowed

	// Probe is the configuration of health checks; nil: there are none. The file does not contain the load limits
	// of endpoints in slow start; ApplySettings sets them.
	Probe *probe.Config

	probePosition sexpr.Position
}

// Default values of (fleet …).
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
	maxLease   = time.Hour // also the maximum renewal interval
	maxDrift   = 0.1
	minWeight  = 0.01
	maxWeight  = 1000

	minHeartbeatInterval = 20 * time.Millisecond
	maxHeartbeatInterval = time.Minute
	minSilenceTimeout    = 50 * time.Millisecond
	maxSilenceTimeout    = time.Hour
)

// instance is one decoded list (instance NAME …) of (instances …).
type instance struct {
	position sexpr.Position
	name     string
	address  netip.AddrPort
	weight   float64
}

// clusterPositions contains the positions of (fleet …) and of lists in it, for errors that are found after
// decoding. The position of a missing list is zero.
type clusterPositions struct {
	cluster, listen, voters, lease, renewal, tls, allow, probe, membership sexpr.Position
}

// clusterLists contains the decoded lists of (fleet …) until they are checked against each other.
type clusterLists struct {
	cluster   *Cluster
	positions clusterPositions
	instances []instance
	listen    netip.AddrPort
	allowed   netipx.IPSetBuilder // addresses in (allow …)
	slots     int64
	epoch     int64
}

// cluster decodes (fleet …). name is the name of this instance. Paths in the list are relative to folder.
func (d *decoder) cluster(into **Cluster, name, folder string) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		lists := &clusterLists{
			cluster: &Cluster{
				Name:            name,
				Weight:          defaultWeight,
				LeaseDuration:   int64(defaultLease),
				RenewalInterval: int64(defaultRenewal),
				MaxClockDrift:   defaultMaxDrift,
			},
			positions: clusterPositions{cluster: list.Position},
			slots:     defaultSlots,
			epoch:     defaultEpoch,
		}
		*into = lists.cluster
		d.section(list, arguments, d.clusterSection(lists))
		lists.convertFields(folder)
		allowed, err := lists.allowed.IPSet()
		if err != nil {
			d.errors.addf(lists.positions.allow, "allow: %v", err)
			return
		}
		lists.cluster.Allow = allowed
		d.checkCluster(lists)
	}
}

// clusterSection returns the definition of (fleet …).
func (d *decoder) clusterSection(lists *clusterLists) section {
	settings, positions := lists.cluster, &lists.positions
	return section{
		"instances": {required: true, decode: d.instances(&lists.instances)},
		"listen":    {decode: withPosition(&positions.listen, d.address(&lists.listen))},
		"voters":    {required: true, decode: withPosition(&positions.voters, d.voters(lists))},
		"slots":     {decode: d.integer(&lists.slots, 1, lease.MaxSlots)},
		"lease": {decode: withPosition(&positions.lease,
			d.duration(&settings.LeaseDuration, minLease, maxLease))},
		"renewal": {decode: withPosition(&positions.renewal,
			d.duration(&settings.RenewalInterval, minRenewal, maxLease))},
		"drift":      {decode: d.number(&settings.MaxClockDrift, 0, maxDrift)},
		"tls":        {required: true, decode: withPosition(&positions.tls, d.keyFiles(&settings.TLS))},
		"allow":      {required: true, decode: withPosition(&positions.allow, d.allowedAddresses(&lists.allowed))},
		"probe":      {decode: withPosition(&positions.probe, d.probe(&settings.Probe))},
		"membership": {decode: withPosition(&positions.membership, d.membership(&settings.Membership))},
	}
}

// convertFields sets the fields of the cluster that need a conversion after decoding: numbers of another type, and
// paths relative to folder.
func (l *clusterLists) convertFields(folder string) {
	l.cluster.Slots = int(l.slots)
	l.cluster.Voters.Epoch = uint64(l.epoch)
	l.cluster.probePosition = l.positions.probe
	l.cluster.TLS = peer.KeyFiles{
		Certificate: resolve(folder, l.cluster.TLS.Certificate),
		Key:         resolve(folder, l.cluster.TLS.Key),
		Roots:       resolve(folder, l.cluster.TLS.Roots),
	}
}

// instances decodes (instances …). Names and addresses must be unique.
func (d *decoder) instances(into *[]instance) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		if len(arguments) > membership.MaxMembers {
			d.errors.addf(list.Position, "(instances …) has %d instances, at most %d are allowed",
				len(arguments), membership.MaxMembers)
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
				d.errors.addf(item.Position, "duplicate instance %s, first listed at line %d", decoded.name, first.Line)
			}
			if other, twice := addresses[decoded.address]; twice && decoded.address.IsValid() {
				d.errors.addf(item.Position, "instance %s has the same address %s as instance %s",
					decoded.name, decoded.address, other)
			}
			names[decoded.name] = item.Position
			addresses[decoded.address] = decoded.name
			*into = append(*into, decoded)
		}
	}
}

// instance decodes (instance NAME …). If the list does not have this form, it adds an error, and ok is false.
func (d *decoder) instance(list *sexpr.Node) (decoded instance, ok bool) {
	if list.Head() != "instance" || len(list.List) < 2 || list.List[1].IsList {
		d.errors.addf(list.Position, "instances: %s is invalid, want (instance NAME (at ADDRESS))", list)
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

// voters decodes (voters …): the instances that vote on leases. Granting a lease requires a majority.
func (d *decoder) voters(lists *clusterLists) decodeFunc {
	voters := &lists.cluster.Voters
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"epoch":  {required: true, decode: d.integer(&lists.epoch, 1, maxEpoch)},
			"now":    {required: true, decode: d.words(&voters.Current)},
			"before": {decode: d.words(&voters.Previous)},
		})
	}
}

// keyFiles decodes (tls …): the paths of the certificate, of its key and of the root certificates.
func (d *decoder) keyFiles(into *peer.KeyFiles) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"certificate": {required: true, decode: d.text(&into.Certificate)},
			"key":         {required: true, decode: d.text(&into.Key)},
			"roots":       {required: true, decode: d.text(&into.Roots)},
		})
	}
}

// allowedAddresses decodes (allow …): addresses, networks and ranges of addresses.
func (d *decoder) allowedAddresses(into *netipx.IPSetBuilder) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		for _, value := range arguments {
			if value.IsList || !d.addAllowed(value, into) {
				d.errors.addWrongKind(list.Head(), value, kindNetworks)
			}
		}
	}
}

// addAllowed adds one address, network or range. It returns false if the value is none of these.
func (d *decoder) addAllowed(value *sexpr.Node, into *netipx.IPSetBuilder) bool {
	if prefix, err := netip.ParsePrefix(value.Word); err == nil {
		if prefix != prefix.Masked() {
			d.errors.addf(value.Position, "allow: %s has address bits set after the prefix, want %s",
				value, prefix.Masked())
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

// membership decodes (membership …): the timing by which instances detect failures of other instances.
func (d *decoder) membership(into *cluster.MembershipConfig) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"interval": {decode: d.duration(&into.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval)},
			"silence":  {decode: d.duration(&into.SilenceTimeout, minSilenceTimeout, maxSilenceTimeout)},
		})
	}
}
