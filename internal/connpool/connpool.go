// Package connpool decides how many connections a router has to which caches, and how fast it opens them, so
// that the sum over all routers of a location stays within what a cache accepts, without messages among them.
// Each router has connections to a subset of the caches, by rendezvous hashing (Thaler, Ravishankar, "Using
// name-based mappings to increase hit rates", 1998), and short-lived ones to others. The package does no input
// or output, reads no clock and starts no goroutine; times come in as arguments, random numbers from a seed.
// docs/coldstart.md, "Connections to caches", has the arithmetic.
//
// All instants are ns on the caller's monotonic axis, all durations are ns, all rates are a second.
package connpool

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)

// maxPerEndpoint is how many connections a router has to one cache at most, as without a plan.
const maxPerEndpoint = 4

// planStream makes the random numbers of plans independent of others from the same seed.
const planStream = 0x6c696e6b

// Plan decides on one router's connections. A nil Plan allows all. It is not safe for use by two goroutines at
// once.
type Plan struct {
	config       Config
	random       *rand.Rand
	endpoints    map[string]*endpoint
	ranking      []*endpoint // by preference: the first SubsetSize are the subset
	listNumber   int         // of the last list of SetEndpoints
	sizedFor     int         // endpoints that SubsetSize was computed for
	outsideDelay int64       // between two connections to one endpoint outside the subset

	SubsetSize     int // endpoints of the subset
	MaxPerEndpoint int // connections to one of them
}

// endpoint is the state of one cache in a plan.
type endpoint struct {
	name         string
	score        uint64 // of rendezvous hashing: the lowest are preferred
	listNumber   int    // of the last list that named it
	isNew        bool   // no list before named it
	inSubset     bool
	preconnected bool  // Preconnect named it
	connectAt    int64 // from when on a connection may be opened
	refusedDelay int64 // the last one after a connection that was refused; 0: there was none
	sendUntil    int64 // until when requests may be sent on a connection outside the subset
}

// New returns a plan that knows no caches yet.
func New(config Config) *Plan {
	config.Routers = max(1, config.Routers)
	return &Plan{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, planStream)),
		endpoints:      map[string]*endpoint{},
		outsideDelay:   int64(float64(config.Routers) / outsideConnectRate(config.MaxConnections) * float64(second)),
		MaxPerEndpoint: max(1, min(maxPerEndpoint, config.MaxConnections/config.Routers)),
	}
}

// SetEndpoints sets the caches to which attempts may go. Those that the plan has already keep their state.
// Connections to a new one are spread over the time that all routers need to open one each.
func (p *Plan) SetEndpoints(now int64, names []string) {
	if p == nil {
		return
	}
	p.listNumber++
	for _, name := range names {
		if p.endpoints[name] == nil {
			p.add(name)
		}
		p.endpoints[name].listNumber = p.listNumber
	}
	p.removeUnlisted()
	if len(p.ranking) != p.sizedFor {
		p.sizedFor = len(p.ranking)
		p.SubsetSize = SubsetSize(p.config.Routers, len(p.ranking), p.config.MaxConnections)
	}
	for rank, endpoint := range p.ranking {
		inSubset := rank < p.SubsetSize
		if endpoint.isNew || inSubset != endpoint.inSubset {
			endpoint.isNew, endpoint.inSubset = false, inSubset
			endpoint.connectAt = max(endpoint.connectAt, now+p.draw(p.connectDelay(endpoint)))
		}
	}
}

// add inserts a cache into the ranking. By rendezvous hashing a cache that is added or removed changes the
// subset by itself alone.
func (p *Plan) add(name string) {
	added := &endpoint{name: name, score: xxhash.Sum64String(p.config.Router + "\x00" + name), isNew: true}
	p.endpoints[name] = added
	rank, _ := slices.BinarySearchFunc(p.ranking, added, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	p.ranking = slices.Insert(p.ranking, rank, added)
}

// removeUnlisted removes the caches that the last list did not name.
func (p *Plan) removeUnlisted() {
	p.ranking = slices.DeleteFunc(p.ranking, func(endpoint *endpoint) bool {
		if endpoint.listNumber == p.listNumber {
			return false
		}
		delete(p.endpoints, endpoint.name)
		return true
	})
}

// find returns the state of a cache, or nil if the plan does not have it.
func (p *Plan) find(name string) *endpoint {
	if p == nil {
		return nil
	}
	return p.endpoints[name]
}

// InSubset reports whether a cache is in the router's subset. A cache that the plan does not have counts as in
// it.
func (p *Plan) InSubset(name string) bool {
	endpoint := p.find(name)
	return endpoint == nil || endpoint.inSubset
}

// draw returns a random duration in [0, limit).
func (p *Plan) draw(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return p.random.Int64N(limit)
}
