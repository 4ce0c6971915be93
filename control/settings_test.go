package control

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
)

// If several settings are invalid, the operator must learn of all of them at once, each with its key and its value.
func TestInvalidSettings(t *testing.T) {
	for _, test := range []struct {
		name   string
		change RawSettings
		want   []SettingError
	}{
		{
			"a float for a switch",
			RawSettings{"probe": 1.},
			[]SettingError{{"probe", 1., "must be of type bool, not float64"}},
		},
		{
			"a float for a count",
			RawSettings{"routers": 4.},
			[]SettingError{{"routers", 4., "must be of type int64, not float64"}},
		},
		{
			"a single value for a list",
			RawSettings{"product.due": second},
			[]SettingError{{"product.due", second, "must be of type []int64, not int64"}},
		},
		{
			"a list of another type",
			RawSettings{"product.neverKept": []string{"yes"}},
			[]SettingError{{"product.neverKept", []string{"yes"}, "must be of type []bool, not []string"}},
		},
		{
			"two invalid settings",
			RawSettings{"joins": "on", "cold.span": 2.5},
			[]SettingError{
				{"cold.span", 2.5, "must be of type int64, not float64"},
				{"joins", "on", "must be of type bool, not string"},
			},
		},
		{
			"an index beyond the list of kinds",
			RawSettings{"kind.origin": int64(3)},
			[]SettingError{{"kind.origin", int64(3), "is not an index into the 3 elements of kinds"}},
		},
		{
			"a class twice",
			RawSettings{"product.names": []string{"harmless", "once", "harmless"}},
			[]SettingError{{"product.names", []string{"harmless", "once", "harmless"}, `names class "harmless" twice`}},
		},
		{
			"missing",
			RawSettings{"product.due": nil, "location": nil},
			[]SettingError{{"product.due", nil, "is missing"}, {"location", nil, "is missing"}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw := rawTestSettings()
			maps.Copy(raw, test.change)
			_, err := DecodeSettings(raw)
			checkSettingErrors(t, err, test.want)
		})
	}
}

// checkSettingErrors checks that err joins exactly the wanted errors, and that each contains the value of its
// setting.
func checkSettingErrors(t *testing.T, err error, wanted []SettingError) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %d", len(wanted))
	}
	var first *SettingError
	if !errors.As(err, &first) {
		t.Fatalf("error of type %T, want a *SettingError: %v", err, err)
	}
	if lines := strings.Split(err.Error(), "\n"); len(lines) != len(wanted) {
		t.Fatalf("%d errors, want %d: %v", len(lines), len(wanted), err)
	}
	for _, want := range wanted {
		if !strings.Contains(err.Error(), want.Error()) {
			t.Errorf("error %q does not contain %q", err, want.Error())
		}
		if want.Value != nil && !strings.Contains(want.Error(), fmt.Sprintf("%#v", want.Value)) {
			t.Errorf("error %q does not contain the value %#v", want.Error(), want.Value)
		}
	}
}

// Absent settings get defaults. So do the classes beyond the end of a list that is too short. An unknown value gets
// the most restrictive meaning.
func TestAbsentSettings(t *testing.T) {
	settings, err := DecodeSettings(RawSettings{
		"routers":          int64(0),
		"location":         "here",
		"kinds":            []string{"cache"},
		"product.names":    []string{"a", "b"},
		"product.due":      []int64{2 * second},
		"product.hardStop": []int64{5 * second, 5 * second},
		"product.payoff":   []float64{3},
		"product.effect":   []string{"harmless", "unheard of"},
	})
	if err != nil {
		t.Fatal(err)
	}
	a, b := settings.Classes[0], settings.Classes[1]
	wantA := ClassSettings{
		Name:             "a",
		LatencyObjective: 2 * second,
		PriorityWeight:   3,
		Idempotency:      Idempotent,
		KeyScope:         ScopeCell,
	}
	wantB := ClassSettings{
		Name:             "b",
		LatencyObjective: second,
		PriorityWeight:   1,
		Idempotency:      NonIdempotent,
		KeyScope:         ScopeCell,
	}
	if a != wantA || b != wantB {
		t.Errorf("classes %+v and %+v, want %+v and %+v", a, b, wantA, wantB)
	}
	if settings.parentRouters() != 1 || settings.cacheRouters() != 1 ||
		settings.parentKind() != noKind || settings.originKind() != noKind || settings.inFlightField() != -1 ||
		settings.Weights != CapacityWeights || !settings.OriginUnlimited || settings.MaxAttempts != 3 ||
		settings.PurgeDuration != 10*second || settings.ParentSlowStart != settings.CacheSlowStart ||
		settings.CacheSlowStart != (SlowStartSettings{Share: 1, Factor: 1, Window: second}) {
		t.Errorf("settings %+v do not have the defaults for absent settings", settings)
	}
}

// allInvalidSettings returns settings with a value of the wrong type under each key.
func allInvalidSettings() RawSettings {
	raw := RawSettings{}
	for _, key := range []string{
		"advice", "advice.most", "answer.bytesPerS", "answer.grace", "cancel", "clientKBPerS", "cold.factor",
		"cold.share", "cold.span", "cold.window", "connect.idle", "connect.streams", "connect.within",
		"dispatches.most",
		"dispatches.together", "drain.grace", "hands.most", "joins", "kind.origin", "kind.parent", "kinds", "list.mode",
		"location", "location.routers", "locations", "origin.fallFactor", "parent.coldFactor", "parent.coldShare",
		"parent.coldSpan", "probe", "product.due", "product.dueStretch", "product.effect", "product.fresh",
		"product.hardStop", "product.names", "product.neverKept", "product.payoff", "product.scope", "product.window",
		"purge.grace", "purge.takes", "report.fields", "routers", "units",
	} {
		raw[key] = struct{}{}
	}
	return raw
}

// kindErrors are the errors for the settings of machine types if they have the wrong type.
const kindErrors = `setting kind.parent must be of type int64, not struct {}: struct {}{}
setting kinds must be of type []string, not struct {}: struct {}{}
setting kind.origin must be of type int64, not struct {}: struct {}{}
`

// requestErrors are the errors for the settings of request handling if they have the wrong type.
const requestErrors = `setting report.fields must be of type []string, not struct {}: struct {}{}
setting clientKBPerS must be of type float64, not struct {}: struct {}{}
setting origin.fallFactor must be of type float64, not struct {}: struct {}{}
setting probe must be of type bool, not struct {}: struct {}{}
setting joins must be of type bool, not struct {}: struct {}{}
setting dispatches.together must be of type bool, not struct {}: struct {}{}
setting cancel must be of type bool, not struct {}: struct {}{}
setting advice must be of type bool, not struct {}: struct {}{}
setting advice.most must be of type int64, not struct {}: struct {}{}
setting dispatches.most must be of type int64, not struct {}: struct {}{}
setting purge.takes must be of type int64, not struct {}: struct {}{}
`

// slowStartErrors are the errors for the settings of slow start if they have the wrong type.
const slowStartErrors = `setting cold.share must be of type float64, not struct {}: struct {}{}
setting cold.factor must be of type float64, not struct {}: struct {}{}
setting cold.span must be of type int64, not struct {}: struct {}{}
setting cold.window must be of type int64, not struct {}: struct {}{}
setting parent.coldShare must be of type float64, not struct {}: struct {}{}
setting parent.coldFactor must be of type float64, not struct {}: struct {}{}
setting parent.coldSpan must be of type int64, not struct {}: struct {}{}`

// The error names all invalid settings, in a fixed order. Operators and their tools depend on the text.
func TestErrorTextOfSettings(t *testing.T) {
	withClass := allInvalidSettings()
	withClass["product.names"] = []string{"a"}
	withClass["location"] = "here"
	withClass["locations"] = []string{"here"}
	withClass["kinds"] = nil
	for _, test := range []struct {
		name string
		raw  RawSettings
		want string
	}{
		{"all of wrong types", allInvalidSettings(), `setting units must be of type string, not struct {}: struct {}{}
setting location must be of type string, not struct {}: struct {}{}
setting routers must be of type int64, not struct {}: struct {}{}
` + kindErrors + requestErrors + `setting product.names must be of type []string, not struct {}: struct {}{}
setting locations must be of type []string, not struct {}: struct {}{}
setting location.routers must be of type []int64, not struct {}: struct {}{}
` + slowStartErrors},
		{"settings of a class of wrong types", withClass, `setting kinds is missing
setting units must be of type string, not struct {}: struct {}{}
setting routers must be of type int64, not struct {}: struct {}{}
setting kind.parent must be of type int64, not struct {}: struct {}{}
setting kind.origin must be of type int64, not struct {}: struct {}{}
` + requestErrors + `setting product.due must be of type []int64, not struct {}: struct {}{}
setting product.dueStretch must be of type []float64, not struct {}: struct {}{}
setting product.fresh must be of type []int64, not struct {}: struct {}{}
setting product.payoff must be of type []float64, not struct {}: struct {}{}
setting product.effect must be of type []string, not struct {}: struct {}{}
setting product.scope must be of type []string, not struct {}: struct {}{}
setting product.window must be of type []int64, not struct {}: struct {}{}
setting product.neverKept must be of type []bool, not struct {}: struct {}{}
setting location.routers must be of type []int64, not struct {}: struct {}{}
` + slowStartErrors},
		{"no settings", RawSettings{}, `setting product.names is missing
setting product.due is missing
setting product.hardStop is missing
setting product.payoff is missing
setting product.effect is missing
setting location is missing
setting kinds is missing
setting routers is missing`},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := DecodeSettings(test.raw)
			if err == nil || err.Error() != test.want {
				t.Errorf("error\n%v\nwant\n%s", err, test.want)
			}
			// Invalid settings count as absent, so that other files can still be checked against the other settings.
			want := DefaultSettings()
			want.Location, want.Classes = settings.Location, settings.Classes
			if !reflect.DeepEqual(settings, want) {
				t.Errorf("settings %+v\nwant %+v", settings, want)
			}
		})
	}
}

// A setting that no decision depends on must not keep a router from starting: a value of the wrong type counts as
// absent.
func TestUncheckedSettings(t *testing.T) {
	raw := rawTestSettings()
	raw["list.mode"] = "ask"
	// The last element has no class.
	raw["product.hardStop"] = []int64{second, 4 * second, 3 * second, 9 * second}
	raw["answer.grace"] = 8 * second / 1000
	raw["answer.bytesPerS"] = 310000.
	raw["hands.most"] = int64(500)
	raw["purge.grace"] = 2 * second
	raw["drain.grace"] = 3 * second
	raw["connect.within"] = second / 2
	raw["connect.idle"] = 20 * second
	raw["connect.streams"] = int64(100)
	got := mustDecode(raw)
	want := testSettings(func(s *Settings) {
		s.SubscribesToEndpointList = true
		s.LongestDeadline, s.ShortestDeadline = 9*second, second
		s.ResponseGrace = 8 * second / 1000
		s.ResponseBytesPerSecond = 310000
		s.MaxInFlight = 500
		s.PurgeGrace = 2 * second
		s.DrainGrace = 3 * second
		s.ConnectTimeout = second / 2
		s.IdleTimeout = 20 * second
		s.MaxStreamsPerConnection = 100
	})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v\nwant %+v", got, want)
	}
	for _, key := range []string{
		"list.mode", "product.hardStop", "answer.grace", "answer.bytesPerS", "hands.most", "purge.grace", "drain.grace",
		"connect.within", "connect.idle", "connect.streams",
	} {
		raw[key] = struct{}{}
	}
	got = mustDecode(raw)
	want = testSettings(func(s *Settings) { s.LongestDeadline, s.ShortestDeadline, s.PurgeGrace, s.DrainGrace = 0, 0, 0, 0 })
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings with wrong types %+v\nwant %+v", got, want)
	}
	raw["hands.most"] = int64(0)
	if got := mustDecode(raw).MaxInFlight; got != DefaultSettings().MaxInFlight {
		t.Errorf("MaxInFlight %d for hands.most 0, want %d", got, DefaultSettings().MaxInFlight)
	}
}

// A value that is added to an enumeration but not to its names would be logged as a number, or under the name of
// another value.
func TestNamesOfValues(t *testing.T) {
	seen := map[string]bool{}
	for result := Overloaded; result <= LocalError; result++ {
		seen[result.String()] = true
	}
	for verdict := Wait; verdict <= Fail; verdict++ {
		seen[verdict.String()] = true
	}
	for kind := hits; kind < attemptKinds; kind++ {
		seen[kind.String()] = true
	}
	if want := int(LocalError) + 1 + int(Fail) + 1 + attemptKinds; len(seen) != want {
		t.Errorf("%d names, want %d: %v", len(seen), want, seen)
	}
	if got := fmt.Sprint(Result(99), Verdict(-1), TimedOut, Reject); got != "99 -1 timed out reject" {
		t.Errorf("names %q, want %q", got, "99 -1 timed out reject")
	}
}
