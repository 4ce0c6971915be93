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

// IdleConnections limits the number of clients' connections and sets how long idle ones are kept open.
type IdleConnections struct {
	MaxConnections  int                 // limit for all clients together; 0 until CheckResources sets the default
	Policies        []idle.Policy       // the first applies to clients that are in none of the networks
	PolicyByNetwork *bart.Table[uint16] // index in Policies of each network's policy
	positions       []sexpr.Position    // positions of the lists from which Policies was decoded, in the same order
}

// Default values and limits of (idle …).
const (
	defaultIdleTimeout = 10 * time.Second
	defaultMaxJitter   = time.Second
	minIdleTimeout     = time.Second
	maxIdleTimeout     = 7 * 24 * time.Hour
	maxMaxJitter       = time.Hour
	maxClients         = 1 << 20
)

// networkValues contains the values of (network …), or those of (idle …) for clients in none of the networks.
type networkValues struct {
	policy         idle.Policy
	maxConnections int64 // limit for the network or, in (idle …), for all clients; 0: not set
	maxPerClient   int64 // limit for each client address; 0: not set
}

// section returns the definition of the keys that (idle …) and (network …) have in common. They decode into v.
func (v *networkValues) section(d *decoder) section {
	return section{
		"after":      {decode: d.duration(&v.policy.IdleTimeout, minIdleTimeout, maxIdleTimeout)},
		"spread":     {decode: d.duration(&v.policy.MaxJitter, 0, maxMaxJitter)},
		"per-client": {decode: d.integer(&v.maxPerClient, 1, maxClients)},
		"most":       {decode: d.integer(&v.maxConnections, 1, maxClients)},
	}
}

// idleConnections decodes (idle …). Its networks are decoded last, because they inherit its values.
func (d *decoder) idleConnections(into **IdleConnections) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		values := networkValues{policy: idle.Policy{
			IdleTimeout: int64(defaultIdleTimeout),
			MaxJitter:   int64(defaultMaxJitter),
		}}
		var networks []*sexpr.Node
		definition := section{"network": {
			repeated: true,
			decode:   func(list *sexpr.Node, _ []*sexpr.Node) { networks = append(networks, list) },
		}}
		maps.Copy(definition, values.section(d))
		d.section(list, arguments, definition)
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

// network decodes (network …) and adds its policy. values are those of (idle …). The network inherits those that it
// does not set, except for the maximum number of connections: a network without (most …) has no limit of its own.
func (d *decoder) network(list *sexpr.Node, into *IdleConnections, values networkValues) {
	if len(list.List) < 2 || list.List[1].IsList {
		d.errors.addf(list.Position, `(network …) must begin with a network such as "10.0.0.0/8", got %v`,
			list.List[1:])
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
		d.errors.addf(list.Position, "duplicate network %s", prefix)
	}
	values.policy.MaxConnections = int(values.maxConnections)
	values.policy.MaxPerClient = int(values.maxPerClient)
	into.PolicyByNetwork.Insert(prefix, uint16(len(into.Policies)))
	into.Policies = append(into.Policies, values.policy)
	into.positions = append(into.positions, list.Position)
}

// EqualLimits reports whether two files have the same limits and policies. It does not compare the networks to
// which the policies apply.
func (c *IdleConnections) EqualLimits(other *IdleConnections) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.MaxConnections == other.MaxConnections && slices.Equal(c.Policies, other.Policies)
}

// CheckResources checks the file's connection limits against the resources of the process. If the file does not limit
// the connections of all clients, CheckResources sets the default limit.
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
	position := f.Idle.positions[0] // the list (idle …), unless the error is about one network
	if policyError, ok := errors.AsType[*idle.PolicyError](err); ok {
		position = f.Idle.positions[policyError.Index]
	}
	return &Error{Position: position, Reason: err.Error()}
}
