// Package connpool decides to which caches a router opens connections, how many, and how fast. All routers of a
// location together stay within the connections that each cache accepts, although they exchange no messages. Each
// router has connections to a subset of the caches, by rendezvous hashing (Thaler, Ravishankar, "Using name-based
// mappings to increase hit rates", 1998), and short-lived connections to other caches. The package does no input
// or output, reads no clock and starts no goroutine: the caller passes the time, and random numbers come from a
// seed. docs/coldstart.md, "Connections to caches", explains the calculations.
//
// Instants are ns of the caller's monotonic clock, durations are ns, and rates are per second.
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

// maxPerEndpoint is the maximum number of a router's connections to one cache, however many the cache accepts. Package
// router has the same limit where there is no plan.
const maxPerEndpoint = 4

// randomStream is the second half of the seed of a plan's random number generator. It makes the plan's random numbers
// independent of those that other packages generate from the same Config.Seed.
const randomStream = 0x6c696e6b

// Plan decides on the connections of one router. A nil Plan allows all connections. It is not safe for concurrent
// use.
type Plan struct {
	config       Config
	random       *rand.Rand
	endpoints    map[string]*endpoint
	ranking      []*endpoint // all caches, the most preferred first; the first SubsetSize are the subset
	listNumber   int         // number of calls of SetEndpoints so far
	sizedFor     int         // number of caches in the ranking when SubsetSize was computed
	outsideDelay int64       // ns; least time between two dials to the same cache outside the subset

	SubsetSize     int // number of caches in the subset
	MaxPerEndpoint int // maximum number of the router's connections to one cache of the subset
}

// endpoint is the state of one cache in a plan.
type endpoint struct {
	name         string
	score        uint64 // hash of the router's and the cache's name; the lowest scores are preferred
	listNumber   int    // value of Plan.listNumber for the last list that contained the cache
	isNew        bool   // the cache was just added, and its first connection is not delayed yet
	inSubset     bool
	preconnected bool  // Preconnect has returned the cache and must not return it again
	connectAt    int64 // ns; earliest time at which the next connection may be opened
	refusedDelay int64 // ns; delay after the last refused connection; 0: none since the last success
	sendUntil    int64 // ns; when sending on the open connection ends, if the cache is not in the subset
}

// New returns a plan without caches; SetEndpoints adds them.
func New(config Config) *Plan {
	config.Routers = max(1, config.Routers)
	return &Plan{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, randomStream)),
		endpoints:      map[string]*endpoint{},
		outsideDelay:   int64(float64(config.Routers) / outsideConnectRate(config.MaxConnections) * float64(second)),
		MaxPerEndpoint: max(1, min(maxPerEndpoint, config.MaxConnections/config.Routers)),
	}
}

// SetEndpoints sets the caches to which attempts may be sent. Caches that are already in the plan keep their state.
// If a cache is new, joins the subset or leaves it, its next connection is delayed by a random time, up to the time in
// which all routers may open one connection each, so that the routers do not connect at the same moment.
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

// add inserts a cache into the ranking. With rendezvous hashing the order of the other caches stays the same, so that
// adding or removing one cache hardly changes the subset.
func (p *Plan) add(name string) {
	added := &endpoint{name: name, score: xxhash.Sum64String(p.config.Router + "\x00" + name), isNew: true}
	p.endpoints[name] = added
	rank, _ := slices.BinarySearchFunc(p.ranking, added, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	p.ranking = slices.Insert(p.ranking, rank, added)
}

// removeUnlisted removes the caches that are not in the list that SetEndpoints is applying, with their state.
func (p *Plan) removeUnlisted() {
	p.ranking = slices.DeleteFunc(p.ranking, func(endpoint *endpoint) bool {
		if endpoint.listNumber == p.listNumber {
			return false
		}
		delete(p.endpoints, endpoint.name)
		return true
	})
}

// find returns the state of a cache, or nil if the cache is not in the plan.
func (p *Plan) find(name string) *endpoint {
	if p == nil {
		return nil
	}
	return p.endpoints[name]
}

// InSubset reports whether a cache is in the router's subset. It is true for a cache that is not in the plan.
func (p *Plan) InSubset(name string) bool {
	endpoint := p.find(name)
	return endpoint == nil || endpoint.inSubset
}

// draw returns a random duration in [0, limit), or 0 if limit is not positive.
func (p *Plan) draw(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return p.random.Int64N(limit)
}
