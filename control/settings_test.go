package control

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
)

// What a router can't go by is named with its key and its value, each of several.
func TestSettingsThatAreWrong(t *testing.T) {
	for _, test := range []struct {
		name   string
		change RawSettings
		want   []SettingError
	}{
		{"a number for a switch", RawSettings{"probe": 1.}, []SettingError{{"probe", 1., "is no bool"}}},
		{"a number for a count", RawSettings{"routers": 4.}, []SettingError{{"routers", 4., "is no int64"}}},
		{
			"one for a list",
			RawSettings{"product.due": second},
			[]SettingError{{"product.due", second, "is no []int64"}},
		},
		{
			"a list of others",
			RawSettings{"product.neverKept": []string{"yes"}},
			[]SettingError{{"product.neverKept", []string{"yes"}, "is no []bool"}},
		},
		{
			"two at once",
			RawSettings{"joins": "on", "cold.span": 2.5},
			[]SettingError{{"cold.span", 2.5, "is no int64"}, {"joins", "on", "is no bool"}},
		},
		{
			"a kind beyond the list",
			RawSettings{"kind.origin": int64(3)},
			[]SettingError{{"kind.origin", int64(3), "is no place in the 3 kinds"}},
		},
		{
			"a class twice",
			RawSettings{"product.names": []string{"harmless", "once", "harmless"}},
			[]SettingError{{"product.names", []string{"harmless", "once", "harmless"}, `has "harmless" twice`}},
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

// checkSettingErrors checks that an error joins one for each setting that is wrong, and names its value.
func checkSettingErrors(t *testing.T, err error, wanted []SettingError) {
	t.Helper()
	if err == nil {
		t.Fatal("no error")
	}
	var first *SettingError
	if !errors.As(err, &first) {
		t.Fatalf("%T: %v", err, err)
	}
	if lines := strings.Split(err.Error(), "\n"); len(lines) != len(wanted) {
		t.Fatalf("%d errors: %v", len(lines), err)
	}
	for _, want := range wanted {
		if !strings.Contains(err.Error(), want.Error()) {
			t.Errorf("%q, want %q", err, want.Error())
		}
		if want.Value != nil && !strings.Contains(want.Error(), fmt.Sprintf("%#v", want.Value)) {
			t.Errorf("%q has no %#v", want.Error(), want.Value)
		}
	}
}

// Absent settings are none, lists that are shorter than that of the classes leave the rest as if absent, and
// what is unknown is taken for the worst.
func TestSettingsThatAreAbsent(t *testing.T) {
	set, err := DecodeSettings(RawSettings{
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
	a, b := set.Classes[0], set.Classes[1]
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
		t.Errorf("%+v and %+v", a, b)
	}
	if set.parentSharers() != 1 || set.cacheSharers() != 1 ||
		set.parentKind() != noKind || set.originKind() != noKind || set.inFlightField() != -1 ||
		set.Weights != CapacityWeights || !set.OriginUnlimited || set.MaxAttempts != 3 ||
		set.PurgeDuration != 10*second || set.ParentSlowStart != set.CacheSlowStart ||
		set.CacheSlowStart != (SlowStartSettings{Share: 1, Factor: 1, Window: second}) {
		t.Errorf("%+v", set)
	}
}

// allWrongSettings have a value that is of no setting's type under each key.
func allWrongSettings() RawSettings {
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

// Parts of the text for settings of wrong types.
const kindErrors = "setting kind.parent is no int64: struct {}{}\nsetting kinds is no []string: struct {}{}\n" +
	"setting kind.origin is no int64: struct {}{}\n"

const requestErrors = `setting report.fields is no []string: struct {}{}
setting clientKBPerS is no float64: struct {}{}
setting origin.fallFactor is no float64: struct {}{}
setting probe is no bool: struct {}{}
setting joins is no bool: struct {}{}
setting dispatches.together is no bool: struct {}{}
setting cancel is no bool: struct {}{}
setting advice is no bool: struct {}{}
setting advice.most is no int64: struct {}{}
setting dispatches.most is no int64: struct {}{}
setting purge.takes is no int64: struct {}{}
`

const slowStartErrors = `setting cold.share is no float64: struct {}{}
setting cold.factor is no float64: struct {}{}
setting cold.span is no int64: struct {}{}
setting cold.window is no int64: struct {}{}
setting parent.coldShare is no float64: struct {}{}
setting parent.coldFactor is no float64: struct {}{}
setting parent.coldSpan is no int64: struct {}{}`

// All that is wrong is named at once, in an order that stays: operators and their tools know the text.
func TestErrorTextOfSettings(t *testing.T) {
	withClass := allWrongSettings()
	withClass["product.names"] = []string{"a"}
	withClass["location"] = "here"
	withClass["locations"] = []string{"here"}
	withClass["kinds"] = nil
	for _, test := range []struct {
		name string
		raw  RawSettings
		want string
	}{
		{"all of wrong types", allWrongSettings(), `setting units is no string: struct {}{}
setting location is no string: struct {}{}
setting routers is no int64: struct {}{}
` + kindErrors + requestErrors + `setting product.names is no []string: struct {}{}
setting locations is no []string: struct {}{}
setting location.routers is no []int64: struct {}{}
` + slowStartErrors},
		{"those of a class of wrong types", withClass, `setting kinds is missing
setting units is no string: struct {}{}
setting routers is no int64: struct {}{}
setting kind.parent is no int64: struct {}{}
setting kind.origin is no int64: struct {}{}
` + requestErrors + `setting product.due is no []int64: struct {}{}
setting product.dueStretch is no []float64: struct {}{}
setting product.fresh is no []int64: struct {}{}
setting product.payoff is no []float64: struct {}{}
setting product.effect is no []string: struct {}{}
setting product.scope is no []string: struct {}{}
setting product.window is no []int64: struct {}{}
setting product.neverKept is no []bool: struct {}{}
setting location.routers is no []int64: struct {}{}
` + slowStartErrors},
		{"none", RawSettings{}, `setting product.names is missing
setting product.due is missing
setting product.hardStop is missing
setting product.payoff is missing
setting product.effect is missing
setting location is missing
setting kinds is missing
setting routers is missing`},
	} {
		t.Run(test.name, func(t *testing.T) {
			set, err := DecodeSettings(test.raw)
			if err == nil || err.Error() != test.want {
				t.Errorf("%v\nwant\n%s", err, test.want)
			}
			// What is wrong counts as absent, so that other files can still be checked against the rest.
			want := DefaultSettings()
			want.Location, want.Classes = set.Location, set.Classes
			if !reflect.DeepEqual(set, want) {
				t.Errorf("%+v\nwant %+v", set, want)
			}
		})
	}
}

// Settings that no decision depends on: each is read, and of a wrong type it counts as absent.
func TestUncheckedSettings(t *testing.T) {
	raw := rawTestSettings()
	raw["list.mode"] = "ask"
	raw["product.hardStop"] = []int64{second, 4 * second, 3 * second, 9 * second} // one more than there are classes
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
		s.PollEndpointList = true
		s.LongestDeadline = 9 * second
		s.AnswerGrace = 8 * second / 1000
		s.ResponseBytesPerSecond = 310000
		s.MaxInFlight = 500
		s.PurgeGrace = 2 * second
		s.DrainGrace = 3 * second
		s.ConnectTimeout = second / 2
		s.IdleTimeout = 20 * second
		s.MaxStreamsPerConnection = 100
	})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
	for _, key := range []string{
		"list.mode", "product.hardStop", "answer.grace", "answer.bytesPerS", "hands.most", "purge.grace", "drain.grace",
		"connect.within", "connect.idle", "connect.streams",
	} {
		raw[key] = struct{}{}
	}
	got = mustDecode(raw)
	want = testSettings(func(s *Settings) { s.LongestDeadline, s.PurgeGrace, s.DrainGrace = 0, 0, 0 })
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
	raw["hands.most"] = int64(0)
	if got := mustDecode(raw).MaxInFlight; got != DefaultSettings().MaxInFlight {
		t.Errorf("%d requests in flight", got)
	}
}

// Each value of an enumeration has a name of its own, and any other its number.
func TestNamesOfValues(t *testing.T) {
	seen := map[string]bool{}
	for result := Overloaded; result <= LocalError; result++ {
		seen[result.String()] = true
	}
	for verdict := Wait; verdict <= Fail; verdict++ {
		seen[verdict.String()] = true
	}
	for kind := hits; kind < kinds; kind++ {
		seen[kind.String()] = true
	}
	if want := int(LocalError) + 1 + int(Fail) + 1 + kinds; len(seen) != want {
		t.Errorf("%d names, want %d: %v", len(seen), want, seen)
	}
	if got := fmt.Sprint(Result(99), Verdict(-1), TimedOut, Reject); got != "99 -1 timed out reject" {
		t.Error(got)
	}
}
