package operatorconfig

import (
	"maps"
	"slices"
	"strings"
	"tealpath/internal/operatorconfig/sexpr"
)

// decodeFunc decodes one list; arguments are what stands in it behind its key.
type decodeFunc func(list *sexpr.Node, arguments []*sexpr.Node)

// key is a key that may stand in a section, and how its list is decoded.
type key struct {
	decode   decodeFunc
	required bool
	repeated bool // it may stand more than once
}

// section has the keys that may stand in one list.
type section map[string]key

func (s section) names() []string {
	return slices.Sorted(maps.Keys(s))
}

// decoder decodes lists and gathers their errors.
type decoder struct {
	errors errorList
}

// section decodes the lists that stand in a list. Each must have a known key, and no key may stand twice unless
// it may be repeated.
func (d *decoder) section(list *sexpr.Node, items []*sexpr.Node, known section) {
	seen := map[string]sexpr.Position{}
	for _, item := range items {
		d.item(list, item, known, seen)
	}
	for _, name := range known.names() {
		_, found := seen[name]
		if known[name].required && !found {
			d.errors.addf(list.Position, "(%s …) lacks (%s …)", list.Head(), name)
		}
	}
}

// item decodes one list of a section and records its key as seen.
func (d *decoder) item(list, item *sexpr.Node, known section, seen map[string]sexpr.Position) {
	name := item.Head()
	if name == "" {
		example := known.names()[0]
		d.errors.addf(item.Position, "%s, where a list such as (%s …) belongs", item, example)
		return
	}
	found, ok := known[name]
	if !ok {
		allowed := strings.Join(known.names(), ", ")
		d.errors.addf(item.Position, "unknown word %s in (%s …); known are %s", name, list.Head(), allowed)
		return
	}
	if first, twice := seen[name]; twice && !found.repeated {
		d.errors.addf(item.Position, "%s stands at line %d already", name, first.Line)
		return
	}
	seen[name] = item.Position
	found.decode(item, item.List[1:])
}

// at returns a decoder that records the position of its list before it decodes it.
func at(position *sexpr.Position, decode decodeFunc) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		*position = list.Position
		decode(list, arguments)
	}
}
