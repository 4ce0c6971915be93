// Package connpool decides how many connections a router holds to which caches, and how fast it opens them, so that the sum
// over all routers of a location stays within what a cache holds, without talk among them. It does no input or output,
// reads no clock, starts no goroutine; time and chance come in. docs/coldstart.md, "Links to caches", has the arithmetic.
//
// All times are ns on the caller's monotonic axis; spans are ns; rates are a second.
package connpool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	second      = int64(1e9)
	millisecond = int64(1e6)
)

const (
	// keptShare is the part of a cache's connections that subsets may take; the rest is for routers that need a cache
	// outside of theirs for a moment.
	keptShare = 0.75

	// sure is how many standard deviations above the mean a bound by chance has room for: one in 4,000 caches is over.
	sure = 3.5

	// eachMost is how many links a router has to one cache at most, as without a plan.
	eachMost = 4

	farLife  = second              // for so long a link outside the subset takes requests
	farTaken = farLife + farLife/2 // and so long it stands at most, with dialling and what is open at its end
	refused  = 250 * millisecond   // until a cache that took no connection is dialled again, at least; grows
	refusedX = 3                   // decorrelated jitter, as plan/startup has it
	refusedM = 8 * second          // at most
	shutSoon = 500 * millisecond   // idle time after which a link beyond the share is closed
	leastGap = millisecond         // between two links to one cache: two events of one moment
)

// Config is what a plan keeps to.
type Config struct {
	Router         string  // the router's name: it decides its subset
	Seed           uint64  // of chance
	Routers        int     // of the location, by the settings
	MaxConnections int     // connections from routers that a cache holds
	MaxConnectRate float64 // connections that a cache takes a second; 0 is no bound
}

// Check tells whether a plan can keep to its bounds.
func (c Config) Check() error {
	if c.MaxConnections < 1 {
		return fmt.Errorf("a cache that holds %d connections", c.MaxConnections)
	}
	if c.MaxConnectRate > 0 && float64(c.Routers)/c.MaxConnectRate > float64(gapMost/second) {
		return fmt.Errorf("%d routers take %.0f s to open one connection each at %g a second, %d s at most",
			c.Routers, float64(c.Routers)/c.MaxConnectRate, c.MaxConnectRate, gapMost/second)
	}
	return nil
}

// gapMost is how long all routers may take to open a connection each: longer than that a cache that started anew had
// nothing to do.
const gapMost = 30 * second

// Plan is one router's plan. A nil plan allows all. It is not safe for use by two goroutines at once.
type Plan struct {
	set            Config
	rng            *rand.Rand
	caches         map[string]*cache
	order          []*cache // by preference: the first Kept are the subset
	lists          int      // that Members was given
	counted        int      // caches that Kept was computed for
	SubsetSize     int      // caches of the subset
	MaxPerEndpoint int      // links to one of them
	farGap         int64    // between two links to one outside
}

type cache struct {
	name    string
	score   uint64 // of rendezvous hashing: the lowest are preferred
	list    int    // the last one that named it
	fresh   bool   // it was not in the list before
	kept    bool
	next    int64 // when a link may be opened
	refusal int64 // the last wait after one that was refused; 0 is none
	life    int64 // until when a link outside the subset takes requests
	ahead   bool  // a first link was asked for
}

// New makes a plan that knows no caches yet.
func New(c Config) *Plan {
	c.Routers = max(1, c.Routers)
	return &Plan{set: c, rng: rand.New(rand.NewPCG(c.Seed, 0x6c696e6b)), caches: map[string]*cache{},
		MaxPerEndpoint: max(1, min(eachMost, c.MaxConnections/c.Routers)),
		farGap:         int64(float64(c.Routers) / farRate(c.MaxConnections) * float64(second))}
}

// SubsetSize is how many of so many caches each of so many routers keeps links to, when each cache holds so many: all, if
// there is one connection for each router; else as many as keep the number of routers at a cache, which is binomial,
// within the subsets' share of what it holds.
func SubsetSize(routers, caches, holds int) int {
	if routers <= holds {
		return caches
	}
	for kept := caches; kept > 0; kept-- {
		p := float64(kept) / float64(caches)
		mean := float64(routers) * p
		if mean+sure*math.Sqrt(mean*(1-p)) <= keptShare*float64(holds) {
			return kept
		}
	}
	return 0
}

// farRate is how many links a second all routers may open to a cache from outside of its subset: so many that those which
// stand at a time, by chance, stay within the rest of what it holds.
func farRate(holds int) float64 {
	rest := (1 - keptShare) * float64(holds)
	// mean + sure·sqrt(mean) = rest
	root := (math.Sqrt(sure*sure+4*rest) - sure) / 2
	return root * root / (float64(farTaken) / float64(second))
}

// SetEndpoints takes the caches to which dispatches may go, as they are now. What is known of those that stay is kept. A new
// one is met by all routers spread over as long as they need.
func (p *Plan) SetEndpoints(now int64, names []string) {
	if p == nil {
		return
	}
	p.lists++
	for _, name := range names {
		if p.caches[name] == nil {
			p.add(name)
		}
		p.caches[name].list = p.lists
	}
	p.order = slices.DeleteFunc(p.order, func(c *cache) bool {
		gone := c.list != p.lists
		if gone {
			delete(p.caches, c.name)
		}
		return gone
	})
	if len(p.order) != p.counted {
		p.counted = len(p.order)
		p.SubsetSize = SubsetSize(p.set.Routers, len(p.order), p.set.MaxConnections)
	}
	for i, c := range p.order {
		if kept := i < p.SubsetSize; c.fresh || kept != c.kept {
			c.fresh, c.kept = false, kept
			c.next = max(c.next, now+p.draw(p.gap(c)))
		}
	}
}

// add puts a cache in its place of the order. By rendezvous hashing one that comes or goes changes the subset by itself alone.
func (p *Plan) add(name string) {
	c := &cache{name: name, score: xxhash.Sum64String(p.set.Router + "\x00" + name), fresh: true}
	p.caches[name] = c
	at, _ := slices.BinarySearchFunc(p.order, c, func(a, b *cache) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	p.order = slices.Insert(p.order, at, c)
}

// gap is how long all routers take to open a link each to a cache.
func (p *Plan) gap(c *cache) int64 {
	gap := int64(0)
	if p.set.MaxConnectRate > 0 {
		gap = int64(float64(p.set.Routers) / p.set.MaxConnectRate * float64(second))
	}
	if !c.kept {
		gap = max(gap, p.farGap)
	}
	return gap
}

// CanConnect tells whether one more link to a cache may be opened, beside those that it has. What is no cache of the plan is not
// bounded by it.
func (p *Plan) CanConnect(now int64, name string, have int) bool {
	if p == nil {
		return true
	}
	c := p.caches[name]
	switch {
	case c == nil:
		return true
	case now < c.next:
		return false
	case c.kept:
		return have < p.MaxPerEndpoint
	}
	return have == 0
}

// CanSend tells whether a link that stands may take another request: one outside the subset makes room for other routers.
func (p *Plan) CanSend(now int64, name string) bool {
	if p == nil {
		return true
	}
	c := p.caches[name]
	return c == nil || c.kept || now < c.life
}

// Dialled notes that a link was dialled.
func (p *Plan) Dialled(now int64, name string) {
	if p == nil || p.caches[name] == nil {
		return
	}
	c := p.caches[name]
	// Half to one and a half: those that opened together do not open the next together.
	gap := p.gap(c)
	c.next = now + max(leastGap, gap/2+p.draw(gap))
	if !c.kept {
		c.life, c.next = now+farLife, now+gap+p.draw(gap) // never sooner than the mean: the bound is on the sum
	}
}

// Established notes that a link came up.
func (p *Plan) Established(name string) {
	if p != nil && p.caches[name] != nil {
		p.caches[name].refusal = 0
	}
}

// ConnectionEnded notes that a link ended that was not closed from here; stood tells whether it had come up. One that never did was
// refused: the cache may be full, by more routers than the settings know of. One that did ended for all routers at once, if
// the cache died: they come back spread.
func (p *Plan) ConnectionEnded(now int64, name string, stood bool) {
	if p == nil || p.caches[name] == nil {
		return
	}
	c := p.caches[name]
	if stood {
		c.ahead, c.next = false, max(c.next, now+p.draw(p.gap(c)))
		return
	}
	c.refusal = min(refused+p.draw(max(refusedX*c.refusal, 2*refused)-refused), refusedM)
	c.next = max(c.next, now+c.refusal)
}

// LocalError notes that a dial failed on this machine: it says nothing of the cache, which is met again.
func (p *Plan) LocalError(name string) {
	if p != nil && p.caches[name] != nil {
		p.caches[name].ahead = false
	}
}

// ShouldClose tells whether an idle link is to be closed before its usual time: one outside the subset, or one beyond the
// router's share of a cache, which may be another's.
func (p *Plan) ShouldClose(now int64, name string, have int, idleSince int64) bool {
	if p == nil || p.caches[name] == nil {
		return false
	}
	if c := p.caches[name]; !c.kept {
		return now >= c.life
	}
	return have > p.MaxPerEndpoint && now-idleSince > shutSoon
}

// Preconnect is the caches of the subset that are to be met now, before anything is to be sent there: in the order of
// preference, each once its own moment has come. Only where opening is paced: there a first request would wait for it.
func (p *Plan) Preconnect(now int64) (names []string) {
	if p == nil || p.set.MaxConnectRate == 0 {
		return nil
	}
	for _, c := range p.order[:p.SubsetSize] {
		if !c.ahead && now >= c.next {
			c.ahead = true
			names = append(names, c.name)
		}
	}
	return names
}

// InSubset tells whether a cache is of the router's subset.
func (p *Plan) InSubset(name string) bool {
	return p == nil || p.caches[name] == nil || p.caches[name].kept
}

// draw is a span from [0, most).
func (p *Plan) draw(most int64) int64 {
	if most <= 0 {
		return 0
	}
	return p.rng.Int64N(most)
}
