package operatorconfig

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tealpath/internal/operatorconfig/sexpr"
)

// Descriptions of the kinds of values, for errors.
const (
	kindDuration = "a duration such as 1500ms or 2s"
	kindInteger  = "a whole number"
	kindNumber   = "a number such as 0.05 or 5%"
	kindAddress  = "an IP address with a port, such as 127.0.0.1:7101"
	kindNetwork  = "a network such as 10.0.0.0/8, with no address bits set after the prefix"
	kindNetworks = "an IP address, a network or a range of addresses"
)

// singleValue returns the value of a list that must have exactly one. For any other list it adds an error, and ok is
// false.
func (d *decoder) singleValue(list *sexpr.Node, arguments []*sexpr.Node) (value *sexpr.Node, ok bool) {
	if len(arguments) != 1 || arguments[0].IsList {
		d.errors.addf(list.Position, "(%s …) requires exactly one word or quoted text, got %v", list.Head(), arguments)
		return nil, false
	}
	return arguments[0], true
}

// text decodes a word or a quoted text, which must not be empty.
func (d *decoder) text(into *string) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		value, ok := d.singleValue(list, arguments)
		if !ok {
			return
		}
		if value.Word == "" {
			d.errors.addf(value.Position, "%s: the text is empty", list.Head())
		}
		*into = value.Word
	}
}

// words decodes any number of words or quoted texts, none of which may be empty.
func (d *decoder) words(into *[]string) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		*into = []string{}
		for _, value := range arguments {
			if value.IsList || value.Word == "" {
				d.errors.addf(value.Position, "%s: %s is invalid, want a word or a quoted text that is not empty",
					list.Head(), value)
				continue
			}
			*into = append(*into, value.Word)
		}
	}
}

// duration decodes a duration with its unit, such as 1500ms, into ns. It must be from minimum to maximum.
func (d *decoder) duration(into *int64, minimum, maximum time.Duration) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		value, ok := d.singleValue(list, arguments)
		if !ok {
			return
		}
		decoded, err := time.ParseDuration(value.Word)
		switch {
		case err != nil:
			d.errors.addWrongKind(list.Head(), value, kindDuration)
		case decoded < minimum || decoded > maximum:
			d.errors.addOutOfRange(list.Head(), value, minimum, maximum)
		default:
			*into = int64(decoded)
		}
	}
}

// integer decodes a whole number, which must be from minimum to maximum.
func (d *decoder) integer(into *int64, minimum, maximum int64) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		value, ok := d.singleValue(list, arguments)
		if !ok {
			return
		}
		decoded, err := strconv.ParseInt(value.Word, 10, 64)
		switch {
		case err != nil:
			d.errors.addWrongKind(list.Head(), value, kindInteger)
		case decoded < minimum || decoded > maximum:
			d.errors.addOutOfRange(list.Head(), value, minimum, maximum)
		default:
			*into = decoded
		}
	}
}

// number decodes a number or a percentage: 5% is 0.05. The number must be from minimum to maximum.
func (d *decoder) number(into *float64, minimum, maximum float64) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		value, ok := d.singleValue(list, arguments)
		if !ok {
			return
		}
		digits, isPercentage := strings.CutSuffix(value.Word, "%")
		decoded, err := strconv.ParseFloat(digits, 64)
		if isPercentage {
			decoded /= 100
		}
		switch {
		case err != nil || math.IsNaN(decoded):
			d.errors.addWrongKind(list.Head(), value, kindNumber)
		case decoded < minimum || decoded > maximum:
			d.errors.addOutOfRange(list.Head(), value, minimum, maximum)
		default:
			*into = decoded
		}
	}
}

// address decodes HOST:PORT. The host must be an IP address, because host names are not resolved.
func (d *decoder) address(into *netip.AddrPort) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		value, ok := d.singleValue(list, arguments)
		if !ok {
			return
		}
		decoded, err := netip.ParseAddrPort(value.Word)
		if err != nil || decoded.Port() == 0 {
			d.errors.addWrongKind(list.Head(), value, kindAddress)
			return
		}
		*into = decoded
	}
}
