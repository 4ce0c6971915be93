package operatorconfig

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

func sorted(known map[string]entry) []string { return slices.Sorted(maps.Keys(known)) }

// single gives the one value of a list.
func (f *faults) single(n *Node, args []*Node) (*Node, bool) {
	if len(args) != 1 || args[0].isList {
		f.add(n.Place, "(%s …) takes one value", n.Head())
		return nil, false
	}
	return args[0], true
}

// text takes a word or a text in quotes.
func (f *faults) text(into *string) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		if v, ok := f.single(n, args); ok {
			if *into = v.Word; v.Word == "" {
				f.add(v.Place, "an empty text")
			}
		}
	}
}

// words takes any number of words.
func (f *faults) words(into *[]string) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		*into = []string{}
		for _, v := range args {
			if v.isList || v.Word == "" {
				f.add(v.Place, "%s, where a word belongs", v)
				continue
			}
			*into = append(*into, v.Word)
		}
	}
}

// span takes a time with its unit, such as 1500ms, into ns.
func (f *faults) span(into *int64, least, most time.Duration) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		v, ok := f.single(n, args)
		if !ok {
			return
		}
		d, err := time.ParseDuration(v.Word)
		switch {
		case err != nil:
			f.add(v.Place, "%s is no time such as 1500ms or 2s", v)
		case d < least || d > most:
			f.add(v.Place, "%s: %s to %s can be", v, least, most)
		default:
			*into = int64(d)
		}
	}
}

// whole takes a whole number.
func (f *faults) whole(into *int64, least, most int64) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		v, ok := f.single(n, args)
		if !ok {
			return
		}
		x, err := strconv.ParseInt(v.Word, 10, 64)
		switch {
		case err != nil:
			f.add(v.Place, "%s is no whole number", v)
		case x < least || x > most:
			f.add(v.Place, "%s: %d to %d can be", v, least, most)
		default:
			*into = x
		}
	}
}

// number takes a number, or a share such as 5%.
func (f *faults) number(into *float64, least, most float64) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		v, ok := f.single(n, args)
		if !ok {
			return
		}
		word, percent := strings.CutSuffix(v.Word, "%")
		x, err := strconv.ParseFloat(word, 64)
		if percent {
			x /= 100
		}
		switch {
		case err != nil || math.IsNaN(x):
			f.add(v.Place, "%s is no number such as 0.05 or 5%%", v)
		case x < least || x > most:
			f.add(v.Place, "%s: %v to %v can be", v, least, most)
		default:
			*into = x
		}
	}
}

// address takes HOST:PORT, the host an IP address: names are not looked up.
func (f *faults) address(into *netip.AddrPort) func(*Node, []*Node) {
	return func(n *Node, args []*Node) {
		v, ok := f.single(n, args)
		if !ok {
			return
		}
		a, err := netip.ParseAddrPort(v.Word)
		if err != nil || a.Port() == 0 {
			f.add(v.Place, "%s is no address such as 127.0.0.1:7101", v)
			return
		}
		*into = a
	}
}
