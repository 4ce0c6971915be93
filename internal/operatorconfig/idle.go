package operatorconfig

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/operatorconfig/sexpr"
	"time"

	"github.com/gaissmai/bart"
)

// IdleConnections is how clients' connections are kept.
type IdleConnections struct {
	MaxConnections  int                 // connections in all; 0 is as without the file
	Policies        []idle.Policy       // the first is for clients that are in no other network
	PolicyByNetwork *bart.Table[uint16] // the index in Networks of each network
	positions       []sexpr.Position    // of the networks
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

// networkValues are the values of one network, or of all that are in no other.
type networkValues struct {
	policy         idle.Policy
	maxConnections int64
	maxPerClient   int64
}

// section returns the keys that set the values.
func (v *networkValues) section(d *decoder) section {
	return section{
		"after":      {decode: d.duration(&v.policy.IdleTimeout, minIdleTimeout, maxIdleTimeout)},
		"spread":     {decode: d.duration(&v.policy.MaxJitter, 0, maxMaxJitter)},
		"per-client": {decode: d.integer(&v.maxPerClient, 1, maxClients)},
		"most":       {decode: d.integer(&v.maxConnections, 1, maxClients)},
	}
}

// keeping decodes how clients' connections are kept.
func (d *decoder) keeping(into **IdleConnections) decodeFunc {
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
		keeping := &IdleConnections{
			MaxConnections:  int(values.maxConnections),
			Policies:        []idle.Policy{values.policy},
			PolicyByNetwork: &bart.Table[uint16]{},
			positions:       []sexpr.Position{list.Position},
		}
		for _, network := range networks {
			d.network(network, keeping, values)
		}
		*into = keeping
	}
}

// network decodes one network. What it does not say is as for all others.
func (d *decoder) network(list *sexpr.Node, keeping *IdleConnections, values networkValues) {
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
	if _, twice := keeping.PolicyByNetwork.Get(prefix); twice {
		d.errors.addf(list.Position, "network %s stands twice", prefix)
	}
	values.policy.MaxConnections = int(values.maxConnections)
	values.policy.MaxPerClient = int(values.maxPerClient)
	keeping.PolicyByNetwork.Insert(prefix, uint16(len(keeping.Policies)))
	keeping.Policies = append(keeping.Policies, values.policy)
	keeping.positions = append(keeping.positions, list.Position)
}

// Same tells whether two files keep connections alike, but for which networks are meant.
func (k *IdleConnections) Same(other *IdleConnections) bool {
	if k == nil || other == nil {
		return k == other
	}
	return k.MaxConnections == other.MaxConnections && slices.Equal(k.Policies, other.Policies)
}

// CheckResources checks the file's bounds on connections against what the process has. usual is how many
// connections there may be if the file does not say.
func (f *File) CheckResources(resources idle.Resources, usual int) error {
	if f.Idle == nil {
		return nil
	}
	if f.Idle.MaxConnections == 0 {
		f.Idle.MaxConnections = usual
	}
	err := resources.Check(f.Idle.MaxConnections, f.Idle.Policies)
	if err == nil {
		return nil
	}
	position := f.Idle.positions[0] // the error is about all connections
	if ofPolicy, ok := errors.AsType[*idle.PolicyError](err); ok {
		position = f.Idle.positions[ofPolicy.Index]
	}
	return &Error{Position: position, Reason: err.Error()}
}
