package operatorconfig

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"tealpath/internal/downstream/idle"
	"tealpath/internal/operatorconfig/sexpr"

	"github.com/gaissmai/bart"
)

// IdleConnections bounds clients' connections, and says how long idle ones are kept open.
type IdleConnections struct {
	MaxConnections  int                 // of all clients; 0: the default. CheckResources sets it
	Policies        []idle.Policy       // the first is for clients that are in none of the networks
	PolicyByNetwork *bart.Table[uint16] // index in Policies, by the network that has it
	positions       []sexpr.Position    // in the file, by the index in Policies
}

// Values of (idle …).
const (
	defaultIdleTimeout = 10 * time.Second
	defaultMaxJitter   = time.Second
	minIdleTimeout     = time.Second
	maxIdleTimeout     = 7 * 24 * time.Hour
	maxMaxJitter       = time.Hour
	maxClients         = 1 << 20
)

// networkValues are the values of (network …), or those of (idle …) for clients in none of the networks.
type networkValues struct {
	policy         idle.Policy
	maxConnections int64 // of the network, or of all clients; 0: not stated
	maxPerClient   int64 // of one client address; 0: not stated
}

// section returns the definition of the keys that set the values.
func (v *networkValues) section(d *decoder) section {
	return section{
		"after":      {decode: d.duration(&v.policy.IdleTimeout, minIdleTimeout, maxIdleTimeout)},
		"spread":     {decode: d.duration(&v.policy.MaxJitter, 0, maxMaxJitter)},
		"per-client": {decode: d.integer(&v.maxPerClient, 1, maxClients)},
		"most":       {decode: d.integer(&v.maxConnections, 1, maxClients)},
	}
}

// idleConnections decodes (idle …).
func (d *decoder) idleConnections(into **IdleConnections) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		values := networkValues{policy: idle.Policy{
			IdleTimeout: int64(defaultIdleTimeout),
			MaxJitter:   int64(defaultMaxJitter),
		}}
		var networks []*sexpr.Node
		known := section{"network": {
			repeated: true,
			decode:   func(list *sexpr.Node, _ []*sexpr.Node) { networks = append(networks, list) },
		}}
		maps.Copy(known, values.section(d))
		d.section(list, arguments, known)
		values.policy.MaxPerClient = int(values.maxPerClient)
		decoded := &IdleConnections{
			MaxConnections:  int(values.maxConnections),
			Policies:        []idle.Policy{values.policy},
			PolicyByNetwork: &bart.Table[uint16]{},
			positions:       []sexpr.Position{list.Position},
		}
		for _, network := range networks {
			d.network(network, decoded, values)
		}
		*into = decoded
	}
}

// network decodes (network …) and adds its policy. values are those of (idle …), which apply where the network
// has none of its own, except for the bound on connections: a network without one has no bound of its own.
func (d *decoder) network(list *sexpr.Node, into *IdleConnections, values networkValues) {
	if len(list.List) < 2 || list.List[1].IsList {
		d.errors.addf(list.Position, `(network …) takes a network such as "10.0.0.0/8" first`)
		return
	}
	prefix, err := netip.ParsePrefix(list.List[1].Word)
	if err != nil || prefix != prefix.Masked() {
		d.errors.addWrongKind(list.Head(), list.List[1], kindNetwork)
		return
	}
	values.maxConnections = 0
	d.section(list, list.List[2:], values.section(d))
	if _, twice := into.PolicyByNetwork.Get(prefix); twice {
		d.errors.addf(list.Position, "network %s stands twice", prefix)
	}
	values.policy.MaxConnections = int(values.maxConnections)
	values.policy.MaxPerClient = int(values.maxPerClient)
	into.PolicyByNetwork.Insert(prefix, uint16(len(into.Policies)))
	into.Policies = append(into.Policies, values.policy)
	into.positions = append(into.positions, list.Position)
}

// Same reports whether two files have the same bounds and policies. It does not compare to which networks the
// policies apply.
func (k *IdleConnections) Same(other *IdleConnections) bool {
	if k == nil || other == nil {
		return k == other
	}
	return k.MaxConnections == other.MaxConnections && slices.Equal(k.Policies, other.Policies)
}

// CheckResources checks the file's bounds on connections against the resources of the process. If the file has
// no bound on all connections, it sets the default.
func (f *File) CheckResources(resources idle.Resources, defaultMaxConnections int) error {
	if f.Idle == nil {
		return nil
	}
	if f.Idle.MaxConnections == 0 {
		f.Idle.MaxConnections = defaultMaxConnections
	}
	err := resources.Check(f.Idle.MaxConnections, f.Idle.Policies)
	if err == nil {
		return nil
	}
	position := f.Idle.positions[0] // unless it concerns one policy, the error concerns all connections
	if ofPolicy, ok := errors.AsType[*idle.PolicyError](err); ok {
		position = f.Idle.positions[ofPolicy.Index]
	}
	return &Error{Position: position, Reason: err.Error()}
}
