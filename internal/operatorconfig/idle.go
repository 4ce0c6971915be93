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

// Keeping is how clients' connections are kept.
type Keeping struct {
	Most     int                 // connections in all; 0 is as without the file
	Networks []idle.Policy       // the first is for clients that are in no other network
	By       *bart.Table[uint16] // the index in Networks of each network
	places   []sexpr.Position    // of the networks
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
func (d *decoder) keeping(into **Keeping) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		values := networkValues{policy: idle.Policy{
			IdleTimeout: int64(defaultIdleTimeout),
			MaxJitter:   int64(defaultMaxJitter),
		}}
		var networks []*sexpr.Node
		known := maps.Clone(values.section(d))
		known["network"] = key{
			repeated: true,
			decode:   func(list *sexpr.Node, _ []*sexpr.Node) { networks = append(networks, list) },
		}
		d.section(list, arguments, known)
		values.policy.MaxPerClient = int(values.maxPerClient)
		keeping := &Keeping{
			Most:     int(values.maxConnections),
			Networks: []idle.Policy{values.policy},
			By:       &bart.Table[uint16]{},
			places:   []sexpr.Position{list.Position},
		}
		for _, network := range networks {
			d.network(network, keeping, values)
		}
		*into = keeping
	}
}

// network decodes one network. What it does not say is as for all others.
func (d *decoder) network(list *sexpr.Node, keeping *Keeping, values networkValues) {
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
	if _, twice := keeping.By.Get(prefix); twice {
		d.errors.addf(list.Position, "network %s stands twice", prefix)
	}
	values.policy.MaxConnections = int(values.maxConnections)
	values.policy.MaxPerClient = int(values.maxPerClient)
	keeping.By.Insert(prefix, uint16(len(keeping.Networks)))
	keeping.Networks = append(keeping.Networks, values.policy)
	keeping.places = append(keeping.places, list.Position)
}

// Same tells whether two files keep connections alike, but for which networks are meant.
func (k *Keeping) Same(other *Keeping) bool {
	if k == nil || other == nil {
		return k == other
	}
	return k.Most == other.Most && slices.Equal(k.Networks, other.Networks)
}

// Fits checks the file's bounds on connections against what the process has. usual is how many connections
// there may be if the file does not say.
func (f *File) Fits(resources idle.Resources, usual int) error {
	if f.Idle == nil {
		return nil
	}
	if f.Idle.Most == 0 {
		f.Idle.Most = usual
	}
	err := resources.Check(f.Idle.Most, f.Idle.Networks)
	if err == nil {
		return nil
	}
	position := f.Idle.places[0] // the error is about all connections
	if ofPolicy, ok := errors.AsType[*idle.PolicyError](err); ok {
		position = f.Idle.places[ofPolicy.Index]
	}
	return &Error{Position: position, Reason: err.Error()}
}
