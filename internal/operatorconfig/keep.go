package operatorconfig

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"tealpath/internal/downstream/idle"
)

// Keeping is how clients' connections are kept.
type Keeping struct {
	Most     int           // in all; 0 is as without the file
	Networks []idle.Policy // the first is for whoever is in no other
	By       *bart.Table[uint16]
	places   []Place // of the networks
	at       Place
}

// What a file that says nothing of them means.
const (
	usualIdle   = 10 * time.Second
	usualSpread = time.Second
)

func (f *faults) keeping(n *Node, args []*Node) *Keeping {
	out := &Keeping{By: &bart.Table[uint16]{}, at: n.Place, places: []Place{n.Place},
		Networks: []idle.Policy{{IdleTimeout: int64(usualIdle), MaxJitter: int64(usualSpread)}}}
	most := int64(0)
	common := func(k *idle.Policy, clients *int64) map[string]entry {
		return map[string]entry{"after": {take: f.span(&k.IdleTimeout, time.Second, 7*24*time.Hour)},
			"spread": {take: f.span(&k.MaxJitter, 0, time.Hour)}, "per-client": {take: f.whole(clients, 1, 1<<20)}}
	}
	var clients int64
	known := common(&out.Networks[0], &clients)
	known["most"] = entry{take: f.whole(&most, 1, 1<<20)}
	var nets []*Node
	known["network"] = entry{repeated: true, take: func(n *Node, _ []*Node) { nets = append(nets, n) }}
	f.walk(n, args, known)
	out.Most, out.Networks[0].MaxPerClient = int(most), int(clients)
	for _, n := range nets {
		// What a network does not say is as for all.
		k, most, clients := out.Networks[0], int64(0), int64(out.Networks[0].MaxPerClient)
		if len(n.List) < 2 || n.List[1].isList {
			f.add(n.Place, "(network …) takes a network such as \"10.0.0.0/8\" first")
			continue
		}
		p, err := netip.ParsePrefix(n.List[1].Word)
		if err != nil || p != p.Masked() {
			f.add(n.List[1].Place, "%s is no network", n.List[1])
			continue
		}
		known := common(&k, &clients)
		known["most"] = entry{take: f.whole(&most, 1, 1<<20)}
		f.walk(n, n.List[2:], known)
		if _, twice := out.By.Get(p); twice {
			f.add(n.Place, "network %s stands twice", p)
		}
		k.MaxConnections, k.MaxPerClient = int(most), int(clients)
		out.By.Insert(p, uint16(len(out.Networks)))
		out.Networks, out.places = append(out.Networks, k), append(out.places, n.Place)
	}
	return out
}

// Same tells whether two files keep connections alike, but for which networks are meant.
func (k *Keeping) Same(other *Keeping) bool {
	if k == nil || other == nil {
		return k == other
	}
	return k.Most == other.Most && slices.Equal(k.Networks, other.Networks)
}

// Fits checks what is to be kept against what the process has. usual is how many connections there may be if the file
// does not say.
func (f *File) Fits(b idle.Resources, usual int) error {
	k := f.Idle
	if k == nil {
		return nil
	}
	if k.Most == 0 {
		k.Most = usual
	}
	err := b.Check(k.Most, k.Networks)
	if err == nil {
		return nil
	}
	place := k.at
	if ofPolicy, ok := errors.AsType[*idle.PolicyError](err); ok {
		place = k.places[ofPolicy.Index]
	}
	return Fault{place, err.Error()}
}
