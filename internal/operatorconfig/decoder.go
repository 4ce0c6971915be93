package operatorconfig

import (
	"maps"
	"slices"
	"strings"

	"tealpath/internal/operatorconfig/sexpr"
)

// decodeFunc decodes one list, (KEY ARGUMENT …).
type decodeFunc func(list *sexpr.Node, arguments []*sexpr.Node)

// key is the definition of a key: how its list is decoded, and how often it may occur.
type key struct {
	decode   decodeFunc
	required bool
	repeated bool // it may occur more than once
}

// section is the definition of a list whose elements are lists: the keys that these may have.
type section map[string]key

// names returns the keys in order.
func (s section) names() []string {
	return slices.Sorted(maps.Keys(s))
}

// decoder decodes lists and collects their errors.
type decoder struct {
	errors errorList
}

// section decodes the items of a list by the list's definition. Each must be a list with a defined key, and a
// key may occur twice only if it may be repeated.
func (d *decoder) section(list *sexpr.Node, items []*sexpr.Node, definition section) {
	seen := map[string]sexpr.Position{}
	for _, item := range items {
		d.item(list, item, definition, seen)
	}
	for _, name := range definition.names() {
		_, found := seen[name]
		if definition[name].required && !found {
			d.errors.addf(list.Position, "(%s …) lacks (%s …)", list.Head(), name)
		}
	}
}

// item decodes one list of a section and records its key as seen.
func (d *decoder) item(list, item *sexpr.Node, definition section, seen map[string]sexpr.Position) {
	name := item.Head()
	if name == "" {
		example := definition.names()[0]
		d.errors.addf(item.Position, "%s, where a list such as (%s …) belongs", item, example)
		return
	}
	found, ok := definition[name]
	if !ok {
		allowed := strings.Join(definition.names(), ", ")
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
