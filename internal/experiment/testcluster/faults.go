package testcluster

import (
	"time"

	"tealpath/internal/emulator/relay"
)

// Selector reports whether the instance with a name is selected.
type Selector func(name string) bool

// Any selects all instances.
func Any(string) bool { return true }

// Only returns a selector of the instance with a name.
func Only(name string) Selector { return func(other string) bool { return other == name } }

// Not returns a selector of the instances that the given selector does not select.
func Not(selector Selector) Selector { return func(name string) bool { return !selector(name) } }

// SetLinks sets the conditions of the links on which the instances selected by from open connections to those
// selected by to.
func (c *Cluster) SetLinks(from, to Selector, conditions relay.Conditions) {
	for link, linkRelay := range c.Relays {
		if from(link.From) && to(link.To) {
			linkRelay.SetConditions(conditions)
		}
	}
}

// CutLinks cuts links in both directions: no data passes, but connections stay open.
func (c *Cluster) CutLinks(from, to Selector) {
	c.SetLinks(from, to, relay.Conditions{CutForward: true, CutBackward: true})
}

// Isolate cuts all links from and to an instance.
func (c *Cluster) Isolate(name string) {
	c.CutLinks(Only(name), Any)
	c.CutLinks(Any, Only(name))
}

// Delay sets the delay of all links from and to an instance. It also restores those that were cut.
func (c *Cluster) Delay(name string, delay time.Duration) {
	c.SetLinks(Only(name), Any, relay.Conditions{Delay: delay})
	c.SetLinks(Any, Only(name), relay.Conditions{Delay: delay})
}

// Heal restores all links, so that they are neither cut nor delayed.
func (c *Cluster) Heal() { c.SetLinks(Any, Any, relay.Conditions{}) }
