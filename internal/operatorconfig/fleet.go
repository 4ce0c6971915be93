package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"go4.org/netipx"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/compatibility"
	"tealpath/internal/connpool"
	"tealpath/internal/lifecycle/startup"
)

// File is an operator's file.
type File struct {
	Socket string   // path of the Unix socket; empty is none
	Fleet  *Fleet   // nil: instances don't talk
	Idle   *Keeping // nil: connections are kept as the platform states it
	Start  startup.ReadinessHold
	Links  *connpool.Config // nil: links to caches are opened as dispatches need them; Self, Seed and Routers are others' to say
	// Snapshot is the file in which what the router knows is kept, and how often; empty is none.
	Snapshot      string
	SnapshotEvery int64 // ns
	start         Place
	links         Place
}

// Fleet is how instances talk and share duties.
type Fleet struct {
	Name      string // the own one
	Listen    string // where the own instance takes links
	Weight    float64
	Instances []membership.Contact
	Voters    lease.Voters
	Slots     int
	Lease     int64
	Renewal   int64
	Drift     float64
	Members   cluster.MembershipConfig
	TLS       peer.KeyFiles
	Allow     *netipx.IPSet
	Probe     *probe.Config // nil: nothing is probed; Cold is the settings' to say
	probeAt   Place
}

// What a file that says nothing of them means.
const (
	usualSlots   = 64
	usualLease   = 1500 * time.Millisecond
	usualRenewal = 500 * time.Millisecond
	usualDrift   = 0.01
	usualPeriod  = time.Second
	usualWithin  = 500 * time.Millisecond
	usualPart    = 0.05
	usualCost    = time.Millisecond

	usualSnapshot = 10 * time.Second
)

// Load reads and checks an operator's file for the instance of a name. Paths in it are relative to its folder.
func Load(path, name string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	file, err := Parse(string(raw), name, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operator's file %s:\n%w", path, err)
	}
	return file, nil
}

// Parse checks a file's text; folder is what its paths are relative to.
func Parse(text, name, folder string) (*File, error) {
	nodes, err := Read(text)
	if err != nil {
		return nil, err
	}
	var f faults
	file := &File{}
	root := &Node{Place: Place{1, 1}, isList: true, List: []*Node{{Word: "file"}}}
	f.walk(root, nodes, map[string]entry{
		"socket": {take: f.text(&file.Socket)},
		"idle":   {take: func(n *Node, args []*Node) { file.Idle = f.keeping(n, args) }},
		"start":  {take: func(n *Node, args []*Node) { f.start(n, args, file) }},
		"links":  {take: func(n *Node, args []*Node) { f.links(n, args, file) }},
		"snapshot": {take: func(n *Node, args []*Node) {
			file.SnapshotEvery = int64(usualSnapshot)
			f.walk(n, args, map[string]entry{"file": {needed: true, take: f.text(&file.Snapshot)},
				"every": {take: f.span(&file.SnapshotEvery, time.Second, time.Hour)}})
			file.Snapshot = within(folder, file.Snapshot)
		}},
		"fleet": {take: func(n *Node, args []*Node) { file.Fleet = f.fleet(n, args, name, folder) }},
	})
	if file.Socket != "" {
		file.Socket = within(folder, file.Socket)
		const most = 100 // a little under what the system takes
		if len(file.Socket) > most {
			f.add(root.Place, "the socket's path has %d bytes, %d can be", len(file.Socket), most)
		}
	}
	return file, f.err()
}

func within(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// What may stand of a start.
const (
	leastRate = 0.1
	mostRate  = 1e6
	leastHold = time.Second
	mostHold  = time.Minute
)

// start reads how routers begin together.
func (f *faults) start(n *Node, args []*Node, file *File) {
	file.start = n.Place
	f.walk(n, args, map[string]entry{
		"rate": {needed: true, take: f.number(&file.Start.CallRate, leastRate, mostRate)},
		"hold": {needed: true, take: f.span(&file.Start.MaxDuration, leastHold, mostHold)},
	})
}

// Shared is what a file says of settings that instances share; routers is the deployment's number, 0 where it is not known.
func (f *File) Shared(routers int) compatibility.Settings {
	s := compatibility.Settings{Routers: routers}
	if f.Links != nil {
		s.MaxConnections = f.Links.MaxConnections
	}
	if f.Fleet != nil {
		s.Slots, s.LeaseDuration, s.MaxClockDrift, s.Voters = f.Fleet.Slots, f.Fleet.Lease, f.Fleet.Drift, f.Fleet.Voters
		if f.Fleet.Probe != nil {
			s.ProbePeriod = f.Fleet.Probe.Period
		}
	}
	return s
}

// What may stand of links to caches.
const (
	mostHeld  = 1 << 20
	leastOpen = 0.1
	mostOpen  = 1e6
)

// links reads what connections caches bear.
func (f *faults) links(n *Node, args []*Node, file *File) {
	file.links, file.Links = n.Place, &connpool.Config{}
	holds := int64(1)
	f.walk(n, args, map[string]entry{
		"holds": {needed: true, take: f.whole(&holds, 1, mostHeld)},
		"opens": {take: f.number(&file.Links.MaxConnectRate, leastOpen, mostOpen)},
	})
	file.Links.MaxConnections = int(holds)
}

// Spreads tells whether links can be kept to what caches bear, with so many routers in the location.
func (f *File) Spreads(routers int) error {
	if f.Links == nil {
		return nil
	}
	f.Links.Routers = routers
	if err := f.Links.Check(); err != nil {
		return Fault{f.links, err.Error()}
	}
	return nil
}

// Holds tells whether what the file says of a start is enough for a deployment's routers.
func (f *File) Holds(routers int) error {
	if err := f.Start.Check(routers); err != nil {
		return Fault{f.start, err.Error()}
	}
	return nil
}

// instance is one line of the instances.
type instance struct {
	Place
	name   string
	at     netip.AddrPort
	weight float64
}

func (f *faults) fleet(n *Node, args []*Node, name, folder string) *Fleet {
	out := &Fleet{Name: name, Slots: usualSlots, Lease: int64(usualLease), Renewal: int64(usualRenewal), Drift: usualDrift,
		Weight: 1}
	var all []instance
	var listen netip.AddrPort
	var allow netipx.IPSetBuilder
	slots, epoch := int64(usualSlots), int64(1)
	places := map[string]Place{}
	noting := func(take func(*Node, []*Node)) func(*Node, []*Node) {
		return func(n *Node, args []*Node) { places[n.Head()] = n.Place; take(n, args) }
	}
	f.walk(n, args, map[string]entry{
		"instances": {needed: true, take: func(n *Node, args []*Node) { all = f.instances(n, args) }},
		"listen":    {take: noting(f.address(&listen))},
		"voters": {needed: true, take: noting(func(n *Node, args []*Node) {
			f.walk(n, args, map[string]entry{"epoch": {needed: true, take: f.whole(&epoch, 1, 1<<40)},
				"now": {needed: true, take: f.words(&out.Voters.Current)}, "before": {take: f.words(&out.Voters.Previous)}})
		})},
		"slots":   {take: f.whole(&slots, 1, lease.MaxSlots)},
		"lease":   {take: noting(f.span(&out.Lease, 100*time.Millisecond, time.Hour))},
		"renewal": {take: noting(f.span(&out.Renewal, 20*time.Millisecond, time.Hour))},
		"drift":   {take: noting(f.number(&out.Drift, 0, 0.1))},
		"tls": {needed: true, take: noting(func(n *Node, args []*Node) {
			f.walk(n, args, map[string]entry{"certificate": {needed: true, take: f.text(&out.TLS.Certificate)},
				"key": {needed: true, take: f.text(&out.TLS.Key)}, "roots": {needed: true, take: f.text(&out.TLS.Roots)}})
		})},
		"allow": {needed: true, take: noting(func(n *Node, args []*Node) { f.allow(args, &allow) })},
		"probe": {take: noting(func(n *Node, args []*Node) { out.Probe = f.probe(n, args) })},
		"membership": {take: noting(func(n *Node, args []*Node) {
			f.walk(n, args, map[string]entry{"interval": {take: f.span(&out.Members.HeartbeatInterval, 20*time.Millisecond, time.Minute)},
				"silence": {take: f.span(&out.Members.SilenceTimeout, 50*time.Millisecond, time.Hour)}})
		})},
	})
	out.Slots, out.Voters.Epoch = int(slots), uint64(epoch)
	out.probeAt = places["probe"]
	out.TLS = peer.KeyFiles{Certificate: within(folder, out.TLS.Certificate), Key: within(folder, out.TLS.Key),
		Roots: within(folder, out.TLS.Roots)}
	set, err := allow.IPSet()
	if err != nil {
		f.add(places["allow"], "%v", err)
		return out
	}
	out.Allow = set
	f.join(n, out, all, listen, places)
	return out
}

// join checks what the parts of a fleet say of each other.
func (f *faults) join(n *Node, out *Fleet, all []instance, listen netip.AddrPort, places map[string]Place) {
	known := map[string]bool{}
	for _, i := range all {
		known[i.name] = true
		out.Instances = append(out.Instances, membership.Contact{Name: i.name, Address: i.at.String(), Weight: i.weight})
		if i.at.IsValid() && !out.Allow.Contains(i.at.Addr()) {
			f.add(i.Place, "the address %s of %s is outside the allowed sets", i.at, i.name)
		}
		if i.name == out.Name {
			out.Weight, out.Listen = i.weight, i.at.String()
		}
	}
	if listen.IsValid() {
		out.Listen = listen.String()
		if !out.Allow.Contains(listen.Addr()) {
			f.add(places["listen"], "the address %s is outside the allowed sets", listen)
		}
	}
	if out.Name != "" && out.Listen == "" {
		f.add(n.Place, "%s is not among the instances, and no (listen …) says where it takes links", out.Name)
	}
	for _, v := range append(append([]string{}, out.Voters.Current...), out.Voters.Previous...) {
		if !known[v] && len(*f) < faultsMost {
			f.add(places["voters"], "voter %s is not among the instances", v)
		}
	}
	if out.Lease < 3*out.Renewal {
		f.add(cmp.Or(places["lease"], places["renewal"], n.Place), "the lease of %s is shorter than three renewals of %s",
			time.Duration(out.Lease), time.Duration(out.Renewal))
	}
	if m := out.Members; m.SilenceTimeout > 0 && m.SilenceTimeout < 2*cmp.Or(m.HeartbeatInterval, out.Renewal) {
		f.add(places["membership"], "the silence of %s is shorter than two intervals of %s: one lost beat would be reported",
			time.Duration(m.SilenceTimeout), time.Duration(cmp.Or(m.HeartbeatInterval, out.Renewal)))
	}
	if _, got := places["voters"]; got {
		if err := out.Voters.Check(); err != nil {
			f.add(places["voters"], "%v", err)
		}
		if out.Voters.Epoch > 1 && len(out.Voters.Previous) == 0 {
			f.add(places["voters"], "epoch %d needs (before …): the voters of the epoch before", out.Voters.Epoch)
		}
	}
	if out.Probe != nil {
		out.Probe.Slots, out.Probe.MaxClockDrift = out.Slots, out.Drift
		if err := out.Probe.Check(); err != nil {
			f.add(places["probe"], "%v", err)
		}
	}
	if _, got := places["tls"]; got && out.TLS.Certificate != "" && out.TLS.Key != "" && out.TLS.Roots != "" {
		keys, err := out.TLS.Load()
		if err == nil && out.Name != "" {
			err = keys.CheckName(out.Name, time.Now())
		}
		if err != nil {
			f.add(places["tls"], "%v", err)
		}
	}
}

func (f *faults) instances(n *Node, args []*Node) (all []instance) {
	seen, at := map[string]Place{}, map[netip.AddrPort]string{}
	if len(args) > membership.MaxMembers {
		f.add(n.Place, "%d instances, %d can be", len(args), membership.MaxMembers)
		return nil
	}
	for _, item := range args {
		i := instance{Place: item.Place, weight: 1}
		if item.Head() != "instance" || len(item.List) < 2 || item.List[1].isList {
			f.add(item.Place, "%s, where (instance NAME (at ADDRESS)) belongs", item)
			continue
		}
		i.name = item.List[1].Word
		f.walk(item, item.List[2:], map[string]entry{"at": {needed: true, take: f.address(&i.at)},
			"weight": {take: f.number(&i.weight, 0.01, 1000)}})
		if first, twice := seen[i.name]; twice {
			f.add(item.Place, "instance %s stands at line %d already", i.name, first.Line)
		}
		if other, twice := at[i.at]; twice && i.at.IsValid() {
			f.add(item.Place, "instance %s has the address of %s", i.name, other)
		}
		seen[i.name], at[i.at] = item.Place, i.name
		all = append(all, i)
	}
	return all
}

func (f *faults) allow(args []*Node, into *netipx.IPSetBuilder) {
	for _, v := range args {
		if p, err := netip.ParsePrefix(v.Word); err == nil && !v.isList {
			if p != p.Masked() {
				f.add(v.Place, "%s has bits behind its length; %s is meant", v, p.Masked())
			}
			into.AddPrefix(p)
		} else if r, err := netipx.ParseIPRange(v.Word); err == nil && !v.isList {
			into.AddRange(r)
		} else if a, err := netip.ParseAddr(v.Word); err == nil && !v.isList {
			into.Add(a)
		} else {
			f.add(v.Place, "%s is no address, network or range", v)
		}
	}
}

func (f *faults) probe(n *Node, args []*Node) *probe.Config {
	out := &probe.Config{Period: int64(usualPeriod), Timeout: int64(usualWithin), ColdPart: usualPart,
		Cost: usualCost.Seconds()}
	cost := int64(usualCost)
	f.walk(n, args, map[string]entry{
		"period":    {take: f.span(&out.Period, 50*time.Millisecond, time.Hour)},
		"within":    {take: f.span(&out.Timeout, 10*time.Millisecond, time.Minute)},
		"cold-part": {take: f.number(&out.ColdPart, 0.0001, 1)},
		"cost":      {take: f.span(&cost, time.Microsecond, time.Minute)},
	})
	out.Cost = time.Duration(cost).Seconds()
	return out
}

// Bound checks the file against the deployment's settings, and takes from them what the duties need.
func (f *File) Bound(allowed bool, cache, parent probe.ColdLimit) error {
	if f.Fleet == nil || f.Fleet.Probe == nil {
		return nil
	}
	if !allowed {
		return Fault{f.Fleet.probeAt, "the deployment's settings do not allow probes"}
	}
	f.Fleet.Probe.Cache, f.Fleet.Probe.Parent = cache, parent
	return nil
}
