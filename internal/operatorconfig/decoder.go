package operatorconfig

import (
	"maps"
	"slices"
	"strings"

	"tealpath/internal/operatorconfig/sexpr"
)

// decodeFunc decodes one list, (KEY ARGUMENT …). list.Head() is the key.
type decodeFunc func(list *sexpr.Node, arguments []*sexpr.Node)

// key defines how the lists with one key are decoded and how often they may occur.
type key struct {
	decode   decodeFunc
	required bool
	repeated bool // the key may occur more than once
}

// section defines which lists another list may contain: it maps the key of each of them to its definition.
type section map[string]key

// names returns the keys in alphabetical order.
func (s section) names() []string {
	return slices.Sorted(maps.Keys(s))
}

// decoder decodes lists and collects their errors.
type decoder struct {
	errors errorList
}

// section decodes the items of a list. Each item must be a list whose key is in the definition, and only keys
// that are marked as repeated may occur more than once.
func (d *decoder) section(list *sexpr.Node, items []*sexpr.Node, definition section) {
	seen := map[string]sexpr.Position{}
	for _, item := range items {
		d.item(list, item, definition, seen)
	}
	for _, name := range definition.names() {
		_, found := seen[name]
		if definition[name].required && !found {
			d.errors.addf(list.Position, "(%s …) is missing in (%s …)", name, list.Head())
		}
	}
}

// item decodes one list of a section and records its key in seen. It adds an error instead if the list has no key, or
// if the key is unknown or may not occur again.
func (d *decoder) item(list, item *sexpr.Node, definition section, seen map[string]sexpr.Position) {
	name := item.Head()
	if name == "" {
		example := definition.names()[0]
		d.errors.addf(item.Position, "(%s …) contains %s, want only lists that begin with a key, such as (%s …)",
			list.Head(), item, example)
		return
	}
	found, ok := definition[name]
	if !ok {
		allowed := strings.Join(definition.names(), ", ")
		d.errors.addf(item.Position, "unknown key %s in (%s …), allowed keys: %s", name, list.Head(), allowed)
		return
	}
	if first, twice := seen[name]; twice && !found.repeated {
		d.errors.addf(item.Position, "duplicate key %s in (%s …), first used at line %d", name, list.Head(), first.Line)
		return
	}
	seen[name] = item.Position
	found.decode(item, item.List[1:])
}

// withPosition returns a decodeFunc that stores the position of the list and then calls decode.
func withPosition(position *sexpr.Position, decode decodeFunc) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		*position = list.Position
		decode(list, arguments)
	}
}
