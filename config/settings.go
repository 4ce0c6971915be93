package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"tealpath/control"
)

// Forms in which a setting arrives.
const (
	seconds = iota
	number
	whole
	flag
	text
	word // text that the wire has in words of its own
)

// naming maps where a setting stands in the settings to the name and form in which the module is given
// it.
var naming = []struct {
	group, key string
	name       string
	form       int
}{
	{"", "balancers", "routers", whole},
	{"", "selfIndex", "router.place", whole},
	{"", "locality", "location", text},
	{"", "failureDomains", "locations", text}, {"", "machineTypes", "kinds", text},
	{"", "discovery", "list.mode", text},
	{"", "weights", "units", text},
	{"", "worthBy", "payoff.by", text},
	{"familyInfo", "zoneBalancers", "location.routers", whole},
	{"familyInfo", "homeHub", "location.hub", whole},
	{"familyInfo", "feedKbPerS", "location.linkKBPerS", number},
	{"familyInfo", "clientKbPerS", "clientKBPerS", number}, {"familyInfo", "direct", "direct", flag},
	{"familyInfo", "joins", "joins", flag}, {"familyInfo", "neighbours", "neighbours", text},
	{"familyInfo", "says", "notes", text}, {"familyInfo", "upperKind", "kind.parent", whole},
	{"familyInfo", "rootKind", "kind.origin", whole},
	{"familyInfo", "originFallMultiple", "origin.fallFactor", number},
	{"familyInfo", "rootFallS", "origin.fallWindow", seconds},
	{"familyInfo", "parentStartsAt", "parent.coldShare", number},
	{"familyInfo", "parentWarmsInS", "parent.coldSpan", seconds},
	{"familyInfo", "parentLimitFactor", "parent.coldFactor", number},
	{"familyInfo", "priceOfLink", "price.link", number},
	{"familyInfo", "purgeSlackS", "purge.grace", seconds},
	{"familyInfo", "purgeTakesS", "purge.takes", seconds},
	{"familyInfo", "freshForS", "product.fresh", seconds},
	{"familyInfo", "graceForS", "product.staleSpan", seconds},
	{"familyInfo", "staleEarns", "product.stalePayoff", number},
	{"familyInfo", "inPieces", "product.parts", flag},
	{"familyInfo", "neverKept", "product.neverKept", flag},
	{"limits", "attemptsCap", "dispatches.most", whole}, {"limits", "cancel", "cancel", flag},
	{"limits", "secondCopies", "dispatches.together", flag}, {"limits", "mayProbe", "probe", flag},
	{"limits", "retryAfter", "advice", flag}, {"limits", "maxRetryAfterS", "advice.most", seconds},
	{"limits", "dialTimeoutS", "connect.within", seconds}, {"limits", "connIdleS", "connect.idle", seconds},
	{"limits", "streamsPerConn", "connect.streams", whole}, {"limits", "maxOpen", "hands.most", whole},
	{"obligations", "askEveryS", "list.askWithin", seconds},
	{"obligations", "coldFrom", "cold.share", number},
	{"obligations", "warmUpS", "cold.span", seconds},
	{"obligations", "overloadFactor", "cold.factor", number},
	{"obligations", "fallS", "cold.window", seconds},
	{"obligations", "stopSendingWithinS", "drain.grace", seconds},
	{"obligations", "graceToAnswerS", "answer.grace", seconds},
	{"report", "fields", "report.fields", word}, {"report", "source", "report.mode", text},
	{"profiles", "name", "product.names", text}, {"profiles", "points", "product.payoff", number},
	{"profiles", "effect", "product.effect", word}, {"profiles", "keyScope", "product.scope", text},
	{"profiles", "dedupWindowS", "product.window", seconds},
	{"profiles", "onTimeS", "product.due", seconds},
	{"profiles", "aimStretch", "product.dueStretch", number},
	{"profiles", "deadlineS", "product.hardStop", seconds},
	{"profiles", "lateWorth", "product.latePayoff", number},
	{"profiles", "streamed", "product.streamed", flag},
	{"callers", "marksRetry", "client.marksRepeats", flag},
}

// words says in the module's terms what the wire says in its own. Names are never translated: a class that another customer
// calls "backlog" was known as "queued", and each of its requests passed for a bad client's.
var words = map[string]string{
	"retryable": "harmless", "dedup": "stamped", "fragile": "one-shot",
	"outstanding": "inHand", "utilization": "busy", "backlog": "queued", "recent_ms": "answerMs",
}

// ParseSettings decodes the settings that an instance is given at its start. Keys it does not know are skipped, absent ones are left out.
func ParseSettings(raw []byte) (control.Settings, error) {
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	out := control.Settings{}
	for _, n := range naming {
		holder := any(all)
		if n.group != "" {
			holder = all[n.group]
		}
		value, err := pick(holder, n.key, n.form)
		if err != nil {
			return nil, fmt.Errorf("settings: %s: %w", strings.TrimPrefix(n.group+"."+n.key, "."), err)
		}
		if value != nil {
			out[n.name] = value
		}
	}
	return out, nil
}

// pick finds key in an object, or gathers it from a list of objects.
func pick(holder any, key string, form int) (any, error) {
	switch h := holder.(type) {
	case nil:
		return nil, nil
	case map[string]any:
		if list, ok := h[key].([]any); ok {
			return row(list, form)
		}
		if h[key] == nil {
			return nil, nil
		}
		return one(h[key], form)
	case []any:
		list := make([]any, len(h))
		for i, item := range h {
			object, ok := item.(map[string]any)
			if !ok {
				return nil, fmt.Errorf("not an object")
			}
			list[i] = object[key]
		}
		return row(list, form)
	}
	return nil, fmt.Errorf("not an object")
}

func one(value any, form int) (any, error) {
	f, isNumber := value.(float64)
	switch form {
	case seconds:
		if isNumber || value == nil {
			return int64(math.Round(f * 1e9)), nil
		}
	case number:
		if isNumber || value == nil {
			return f, nil
		}
	case whole:
		if isNumber || value == nil {
			return int64(f), nil
		}
	case flag:
		if on, ok := value.(bool); ok || value == nil {
			return on, nil
		}
	case text:
		if s, ok := value.(string); ok || value == nil {
			return s, nil
		}
	case word:
		if s, ok := value.(string); ok || value == nil {
			return cmp.Or(words[s], s), nil
		}
	}
	return nil, fmt.Errorf("unexpected value %#v", value)
}

func row(list []any, form int) (any, error) {
	switch form {
	case seconds, whole:
		return gather[int64](list, form)
	case number:
		return gather[float64](list, form)
	case flag:
		return gather[bool](list, form)
	}
	return gather[string](list, form)
}

func gather[T any](list []any, form int) (any, error) {
	out := make([]T, len(list))
	for i, item := range list {
		value, err := one(item, form)
		if err != nil {
			return nil, err
		}
		out[i] = value.(T)
	}
	return out, nil
}
