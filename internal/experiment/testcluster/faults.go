package testcluster

import (
	"time"

	"tealpath/internal/emulator/relay"
)

// Side selects the instances at one end of links by their names.
type Side func(name string) bool

// Any selects all instances.
func Any(string) bool { return true }

// Only selects one instance.
func Only(name string) Side { return func(other string) bool { return other == name } }

// Not selects the instances that a side does not select.
func Not(side Side) Side { return func(name string) bool { return !side(name) } }

// SetLinks sets the conditions of the links on which instances selected by from open connections to those selected by
// to.
func (c *Cluster) SetLinks(from, to Side, conditions relay.Conditions) {
	for link, path := range c.Relays {
		if from(link.From) && to(link.To) {
			path.SetConditions(conditions)
		}
	}
}

// CutLinks cuts links. No data passes on them, but their connections stay open.
func (c *Cluster) CutLinks(from, to Side) {
	c.SetLinks(from, to, relay.Conditions{CutForward: true, CutBackward: true})
}

// Isolate cuts all links from and to an instance.
func (c *Cluster) Isolate(name string) {
	c.CutLinks(Only(name), Any)
	c.CutLinks(Any, Only(name))
}

// Delay delays the data on all links from and to an instance. Those of them that were cut are healed.
func (c *Cluster) Delay(name string, delay time.Duration) {
	c.SetLinks(Only(name), Any, relay.Conditions{Delay: delay})
	c.SetLinks(Any, Only(name), relay.Conditions{Delay: delay})
}

// Heal removes all cuts and delays of links.
func (c *Cluster) Heal() { c.SetLinks(Any, Any, relay.Conditions{}) }
