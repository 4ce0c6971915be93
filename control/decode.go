package control

import (
	"errors"
	"fmt"
	"slices"
)

// RawSettings are undecoded settings: values by their key. Durations are int64 nanoseconds, shares and factors
// float64, counts int64, switches bool and names string. A setting that has a value for each class or location is a
// slice of one of these types.
type RawSettings map[string]any

// SettingError reports a setting that cannot be used.
type SettingError struct {
	Key    string
	Value  any // nil if the setting is missing
	Reason string
}

func (e *SettingError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("setting %s %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("setting %s %s: %#v", e.Key, e.Reason, e.Value)
}

// requiredSettings are the keys of the settings that no decision can be made without.
var requiredSettings = []string{
	"product.names", "product.due", "product.hardStop", "product.payoff", "product.effect", "location",
	"kinds", "routers",
}

// minClientKBPerSecond is the lower bound of Settings.ClientKBPerSecond. It keeps sending times, which are sizes
// divided by that rate, finite.
const minClientKBPerSecond = 1

// DecodeSettings checks and decodes settings. The error joins a *SettingError for each setting that is missing, has
// the wrong type or contradicts another setting. The returned settings then have a default value instead. They can
// be used to check other files against them, but a router must not run with them.
func DecodeSettings(raw RawSettings) (Settings, error) {
	decoder := &settingsDecoder{raw: raw}
	for _, key := range requiredSettings {
		if raw[key] == nil {
			decoder.fail(key, "is missing")
		}
	}
	settings := DefaultSettings()
	settings.decodeDeployment(decoder)
	settings.decodeRequestHandling(decoder)
	settings.Classes = decodeClasses(decoder)
	settings.decodeLocationRouters(decoder)
	settings.decodeSlowStart(decoder)
	settings.decodeUnchecked(decoder)
	return settings, errors.Join(decoder.errs...)
}

// settingsDecoder reads settings by their key and collects the errors of all of them.
type settingsDecoder struct {
	raw  RawSettings
	errs []error
}

// fail adds an error for a setting, unless there is already one with the same key and reason.
func (decoder *settingsDecoder) fail(key, reason string) {
	same := func(err error) bool {
		var other *SettingError
		return errors.As(err, &other) && other.Key == key && other.Reason == reason
	}
	if !slices.ContainsFunc(decoder.errs, same) {
		decoder.errs = append(decoder.errs, &SettingError{Key: key, Value: decoder.raw[key], Reason: reason})
	}
}

// setting returns a setting, or the fallback if it is absent or has another type. Another type is an error.
func setting[T any](decoder *settingsDecoder, key string, fallback T) T {
	raw, present := decoder.raw[key]
	if !present || raw == nil {
		return fallback
	}
	value, ok := raw.(T)
	if !ok {
		decoder.fail(key, fmt.Sprintf("must be of type %T, not %T", fallback, raw))
		return fallback
	}
	return value
}

// unchecked returns a setting, or the fallback if it is absent or has another type. Another type is not an error.
func unchecked[T any](decoder *settingsDecoder, key string, fallback T) T {
	if value, ok := decoder.raw[key].(T); ok {
		return value
	}
	return fallback
}

// element returns one element of a list setting, or the fallback if the list is too short.
func element[T any](decoder *settingsDecoder, key string, index int, fallback T) T {
	list := setting[[]T](decoder, key, nil)
	if index < 0 || index >= len(list) {
		return fallback
	}
	return list[index]
}

// decodeDeployment decodes the location of the router and the properties of its endpoints.
func (s *Settings) decodeDeployment(decoder *settingsDecoder) {
	s.Weights = decodeWeights(setting(decoder, "units", ""))
	s.Location = setting(decoder, "location", s.Location)
	s.Routers = int(setting(decoder, "routers", int64(s.Routers)))
	s.ParentKind = decodeKind(decoder, "kind.parent")
	s.OriginKind = decodeKind(decoder, "kind.origin")
	s.LoadReportFields = setting(decoder, "report.fields", s.LoadReportFields)
	s.ClientKBPerSecond = max(setting(decoder, "clientKBPerS", s.ClientKBPerSecond), minClientKBPerSecond)
	s.OriginUnlimited = setting(decoder, "origin.fallFactor", 0.) == 0
}

// decodeWeights decodes the meaning of weights. An unknown meaning becomes CapacityWeights.
func decodeWeights(meaning string) WeightMeaning {
	switch meaning {
	case "live":
		return LoadWeights
	case "off":
		return NoWeights
	}
	return CapacityWeights
}

// decodeKind returns the machine type that a setting selects by its index in the setting kinds. It returns nil for
// a negative or invalid index.
func decodeKind(decoder *settingsDecoder, key string) *string {
	index := int(setting(decoder, key, int64(-1)))
	machineTypes := setting[[]string](decoder, "kinds", nil)
	if index >= len(machineTypes) && len(machineTypes) > 0 {
		decoder.fail(key, fmt.Sprintf("is not an index into the %d elements of kinds", len(machineTypes)))
	}
	if index < 0 || index >= len(machineTypes) {
		return nil
	}
	machineType := machineTypes[index]
	return &machineType
}

// decodeRequestHandling decodes which actions requests may use, such as hedging and cancelling, and their limits.
func (s *Settings) decodeRequestHandling(decoder *settingsDecoder) {
	s.HealthChecks = setting(decoder, "probe", s.HealthChecks)
	s.JoinFills = setting(decoder, "joins", s.JoinFills)
	s.Hedging = setting(decoder, "dispatches.together", s.Hedging)
	s.CancelAttempts = setting(decoder, "cancel", s.CancelAttempts)
	s.RetryAfter = setting(decoder, "advice", s.RetryAfter)
	s.MaxRetryAfter = setting(decoder, "advice.most", s.MaxRetryAfter)
	s.MaxAttempts = int(setting(decoder, "dispatches.most", int64(s.MaxAttempts)))
	s.PurgeDuration = setting(decoder, "purge.takes", s.PurgeDuration)
}

// decodeClasses decodes the classes. A class has one element in each of several list settings.
func decodeClasses(decoder *settingsDecoder) []ClassSettings {
	names := setting[[]string](decoder, "product.names", nil)
	classes := make([]ClassSettings, len(names))
	for index, name := range names {
		if slices.Contains(names[:index], name) {
			decoder.fail("product.names", fmt.Sprintf("names class %q twice", name))
		}
		classes[index] = ClassSettings{
			Name:             name,
			LatencyObjective: element(decoder, "product.due", index, second),
			ObjectiveStretch: element(decoder, "product.dueStretch", index, 0.),
			FreshDuration:    element(decoder, "product.fresh", index, int64(0)),
			PriorityWeight:   element(decoder, "product.payoff", index, 1.),
			Idempotency:      decodeIdempotency(element(decoder, "product.effect", index, "")),
			KeyScope:         KeyScope(element(decoder, "product.scope", index, string(ScopeCell))),
			KeyWindow:        element(decoder, "product.window", index, int64(0)),
			Uncacheable:      element(decoder, "product.neverKept", index, false),
		}
	}
	return classes
}

// decodeIdempotency decodes the effect of a class's requests. An unknown effect becomes NonIdempotent, the most
// restrictive value.
func decodeIdempotency(effect string) Idempotency {
	switch effect {
	case "harmless":
		return Idempotent
	case "stamped":
		return Keyed
	}
	return NonIdempotent
}

// decodeLocationRouters decodes the number of routers in this location, from a list that has one element for each
// element of the setting locations.
func (s *Settings) decodeLocationRouters(decoder *settingsDecoder) {
	index := slices.Index(setting[[]string](decoder, "locations", nil), s.Location)
	routers := setting[[]int64](decoder, "location.routers", nil)
	if index >= 0 && index < len(routers) {
		s.LocationRouters = int(max(1, routers[index]))
	}
}

// decodeSlowStart decodes how much load caches and parents can take while they are warming up.
func (s *Settings) decodeSlowStart(decoder *settingsDecoder) {
	cache := &s.CacheSlowStart
	cache.Share = setting(decoder, "cold.share", cache.Share)
	cache.Factor = setting(decoder, "cold.factor", cache.Factor)
	cache.WarmUpDuration = setting(decoder, "cold.span", cache.WarmUpDuration)
	cache.Window = setting(decoder, "cold.window", cache.Window)

	parent := &s.ParentSlowStart
	parent.Share = setting(decoder, "parent.coldShare", parent.Share)
	parent.Factor = setting(decoder, "parent.coldFactor", cache.Factor)
	parent.WarmUpDuration = setting(decoder, "parent.coldSpan", parent.WarmUpDuration)
	parent.Window = cache.Window
}

// decodeUnchecked decodes the settings that no decision depends on. A value of the wrong type counts as absent, so
// that it does not keep a router from starting.
func (s *Settings) decodeUnchecked(decoder *settingsDecoder) {
	s.SubscribesToEndpointList = unchecked(decoder, "list.mode", "") == "ask"
	for _, deadline := range unchecked[[]int64](decoder, "product.hardStop", nil) {
		s.LongestDeadline = max(s.LongestDeadline, deadline)
		if s.ShortestDeadline == 0 || deadline < s.ShortestDeadline {
			s.ShortestDeadline = deadline
		}
	}
	s.ResponseGrace = unchecked(decoder, "answer.grace", s.ResponseGrace)
	s.ResponseBytesPerSecond = unchecked(decoder, "answer.bytesPerS", s.ResponseBytesPerSecond)
	if maxInFlight := unchecked(decoder, "hands.most", int64(0)); maxInFlight > 0 {
		s.MaxInFlight = int(maxInFlight)
	}
	s.PurgeGrace = unchecked(decoder, "purge.grace", s.PurgeGrace)
	s.DrainGrace = unchecked(decoder, "drain.grace", s.DrainGrace)
	s.ConnectTimeout = unchecked(decoder, "connect.within", s.ConnectTimeout)
	s.IdleTimeout = unchecked(decoder, "connect.idle", s.IdleTimeout)
	s.MaxStreamsPerConnection = int(unchecked(decoder, "connect.streams", int64(s.MaxStreamsPerConnection)))
}
