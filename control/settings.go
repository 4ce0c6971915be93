package control

import (
	"errors"
	"fmt"
	"slices"
)

// Settings is what a router is told when it starts: names to plain values. Times are int64 nanoseconds,
// shares and factors float64, counts int64, switches bool, names string; lists by class or location are
// slices of these.
type Settings map[string]any

// SettingError is a setting that New can't go by.
type SettingError struct {
	Key    string
	Value  any // nil where it is missing
	Reason string
}

func (e *SettingError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("setting %s %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("setting %s %s: %#v", e.Key, e.Reason, e.Value)
}

// requiredSettings are those without which no decision can be made.
var requiredSettings = []string{
	"product.names", "product.due", "product.hardStop", "product.payoff", "product.effect", "location",
	"kinds", "routers",
}

const (
	defaultMaxAttempts   = 3
	defaultPurgeDuration = 10 * second // ns
	defaultColdWindow    = second      // ns
	minClientKBPerSecond = 1
	noKind               = "none" // of endpoints: none has it
)

// settings are the Settings that decisions go by, decoded and checked.
type settings struct {
	location        string
	locationRouters float64 // that share the location's caches, this one among them
	routers         float64 // that share the parents, this one among them

	parentKind, originKind string // of endpoints
	capacitiesTold         bool   // weights are capacities
	liveWeights            bool   // weights follow the load
	inFlightField          int    // index in load reports of the requests in flight; -1: they don't tell
	clientKBPerSecond      float64
	originUnlimited        bool // the origin never falls over, whatever it is asked for

	probes    bool // health checks may be sent
	joinFills bool // a fill under way is waited for
	hedging   bool // two attempts of a request may be in flight
	cancel    bool // attempts can be called off

	retryAfter    bool  // rejections carry Retry-After
	maxRetryAfter int64 // ns
	maxAttempts   int   // of one request
	purgeDuration int64 // ns; for how long caches and parents may still hold what was purged

	cacheSlowStart, parentSlowStart slowStartTerms
	classes                         []classTerms
}

// settingsDecoder reads settings by their key and keeps what is wrong with them.
type settingsDecoder struct {
	raw  Settings
	errs []error
}

// fail notes that a setting can't be gone by, once for each reason.
func (d *settingsDecoder) fail(key, reason string) {
	same := func(err error) bool {
		var other *SettingError
		return errors.As(err, &other) && other.Key == key && other.Reason == reason
	}
	if !slices.ContainsFunc(d.errs, same) {
		d.errs = append(d.errs, &SettingError{Key: key, Value: d.raw[key], Reason: reason})
	}
}

// setting reads one, or the fallback where it is absent.
func setting[T any](d *settingsDecoder, key string, fallback T) T {
	raw, present := d.raw[key]
	if !present || raw == nil {
		return fallback
	}
	value, ok := raw.(T)
	if !ok {
		d.fail(key, fmt.Sprintf("is no %T", fallback))
		return fallback
	}
	return value
}

// element reads one place of a list, or the fallback where the list has none.
func element[T any](d *settingsDecoder, key string, place int, fallback T) T {
	list := setting[[]T](d, key, nil)
	if place < 0 || place >= len(list) {
		return fallback
	}
	return list[place]
}

// decodeSettings checks the settings and gives those that decisions go by. The error joins a SettingError for each that is missing,
// of a wrong type, or contradicts another.
func decodeSettings(raw Settings) (settings, error) {
	d := &settingsDecoder{raw: raw}
	for _, key := range requiredSettings {
		if raw[key] == nil {
			d.fail(key, "is missing")
		}
	}
	weights := setting(d, "units", "nominal")
	set := settings{
		location:          setting(d, "location", ""),
		routers:           float64(max(1, setting(d, "routers", int64(1)))),
		parentKind:        decodeKind(d, "kind.parent"),
		originKind:        decodeKind(d, "kind.origin"),
		capacitiesTold:    weights != "off" && weights != "live",
		liveWeights:       weights == "live",
		inFlightField:     slices.Index(setting[[]string](d, "report.fields", nil), reportInFlight),
		clientKBPerSecond: max(setting(d, "clientKBPerS", 1.), minClientKBPerSecond),
		originUnlimited:   setting(d, "origin.fallFactor", 0.) == 0,
		probes:            setting(d, "probe", false),
		joinFills:         setting(d, "joins", false),
		hedging:           setting(d, "dispatches.together", false),
		cancel:            setting(d, "cancel", false),
		retryAfter:        setting(d, "advice", false),
		maxRetryAfter:     setting(d, "advice.most", int64(0)),
		maxAttempts:       int(setting(d, "dispatches.most", int64(defaultMaxAttempts))),
		purgeDuration:     setting(d, "purge.takes", defaultPurgeDuration),
		classes:           decodeClasses(d),
	}
	place := slices.Index(setting[[]string](d, "locations", nil), set.location)
	set.locationRouters = float64(max(1, element(d, "location.routers", place, int64(1))))
	set.decodeSlowStart(d)
	return set, errors.Join(d.errs...)
}

// decodeKind reads a kind of endpoints, which is told by its place in the list of kinds; below 0 is none.
func decodeKind(d *settingsDecoder, key string) string {
	place := int(setting(d, key, int64(-1)))
	if count := len(setting[[]string](d, "kinds", nil)); place >= count && count > 0 {
		d.fail(key, fmt.Sprintf("is no place in the %d kinds", count))
	}
	return element(d, "kinds", place, noKind)
}

// decodeSlowStart reads what caches and parents bear after their start.
func (set *settings) decodeSlowStart(d *settingsDecoder) {
	set.cacheSlowStart = slowStartTerms{
		share:    setting(d, "cold.share", 1.),
		multiple: setting(d, "cold.factor", 1.),
		span:     setting(d, "cold.span", int64(0)),
		window:   setting(d, "cold.window", defaultColdWindow),
		routers:  int(set.locationRouters),
	}
	set.parentSlowStart = slowStartTerms{
		share:    setting(d, "parent.coldShare", 1.),
		multiple: setting(d, "parent.coldFactor", set.cacheSlowStart.multiple),
		span:     setting(d, "parent.coldSpan", int64(0)),
		window:   set.cacheSlowStart.window,
		routers:  int(set.routers),
	}
}

// decodeClasses reads the classes, each from its place in several lists.
func decodeClasses(d *settingsDecoder) []classTerms {
	names := setting[[]string](d, "product.names", nil)
	classes := make([]classTerms, len(names))
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			d.fail("product.names", fmt.Sprintf("has %q twice", name))
		}
		classes[i] = classTerms{
			name:             name,
			objective:        element(d, "product.due", i, second),
			objectiveStretch: element(d, "product.dueStretch", i, 0.),
			freshDuration:    element(d, "product.fresh", i, int64(0)),
			weight:           element(d, "product.payoff", i, 1.),
			idempotency:      decodeIdempotency(element(d, "product.effect", i, "")),
			keyScope:         element(d, "product.scope", i, scopeCell),
			keyWindow:        element(d, "product.window", i, int64(0)),
			uncacheable:      element(d, "product.neverKept", i, false),
		}
	}
	return classes
}

// decodeIdempotency reads an effect; one that isn't known is taken for the worst.
func decodeIdempotency(effect string) idempotency {
	switch effect {
	case "harmless":
		return idempotent
	case "stamped":
		return keyed
	}
	return nonIdempotent
}
