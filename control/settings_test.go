package control

import (
	"errors"
	"fmt"
	"strings"
	"tealpath/internal/logevent"
	"testing"
)

// What a router can't go by is named with its key and its value, each of several.
func TestSettingsThatAreWrong(t *testing.T) {
	for _, c := range []struct {
		name   string
		change Settings
		want   []SettingError
	}{
		{"a number for a switch", Settings{"probe": 1.}, []SettingError{{"probe", 1., "is no bool"}}},
		{"a number for a count", Settings{"routers": 4.}, []SettingError{{"routers", 4., "is no int64"}}},
		{"one for a list", Settings{"product.due": second}, []SettingError{{"product.due", second, "is no []int64"}}},
		{"a list of others", Settings{"product.neverKept": []string{"yes"}}, []SettingError{{"product.neverKept", []string{"yes"}, "is no []bool"}}},
		{"two at once", Settings{"joins": "on", "cold.span": 2.5}, []SettingError{{"cold.span", 2.5, "is no int64"}, {"joins", "on", "is no bool"}}},
		{"a kind beyond the list", Settings{"kind.origin": int64(3)}, []SettingError{{"kind.origin", int64(3), "is no place in the 3 kinds"}}},
		{
			"a class twice",
			Settings{"product.names": []string{"harmless", "once", "harmless"}},
			[]SettingError{{"product.names", []string{"harmless", "once", "harmless"}, `has "harmless" twice`}},
		},
		{"missing", Settings{"product.due": nil, "location": nil}, []SettingError{{"product.due", nil, "is missing"}, {"location", nil, "is missing"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			router, err := New(start, 7, site(c.change), func(logevent.Event) {})
			if err == nil || router != nil {
				t.Fatalf("router %v, error %v", router, err)
			}
			var first *SettingError
			if !errors.As(err, &first) {
				t.Fatalf("%T: %v", err, err)
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(c.want) {
				t.Fatalf("%d errors: %v", len(lines), err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want.Error()) {
					t.Errorf("%q, want %q", err, want.Error())
				}
				if want.Value != nil && !strings.Contains(want.Error(), fmt.Sprintf("%#v", want.Value)) {
					t.Errorf("%q has no %#v", want.Error(), want.Value)
				}
			}
		})
	}
}

// Absent settings are none, lists that are shorter than that of the classes leave the rest as if absent, and
// what is unknown is taken for the worst.
func TestSettingsThatAreAbsent(t *testing.T) {
	set, err := decodeSettings(Settings{
		"routers": int64(0), "location": "here", "kinds": []string{"cache"}, "product.names": []string{"a", "b"},
		"product.due": []int64{2 * second}, "product.hardStop": []int64{5 * second, 5 * second}, "product.payoff": []float64{3},
		"product.effect": []string{"harmless", "unheard of"},
	})
	if err != nil {
		t.Fatal(err)
	}
	a, b := set.classes[0], set.classes[1]
	if a.objective != 2*second || a.weight != 3 || a.idempotency != idempotent || a.keyScope != scopeCell {
		t.Errorf("%+v", a)
	}
	if b.objective != second || b.weight != 1 || b.idempotency != nonIdempotent || b.freshDuration != 0 {
		t.Errorf("%+v", b)
	}
	if set.routers != 1 || set.locationRouters != 1 || set.parentKind != noKind || set.originKind != noKind || !set.capacitiesTold ||
		!set.originUnlimited || set.inFlightField != -1 || set.maxAttempts != 3 || set.purgeDuration != 10*second ||
		set.cacheSlowStart != (slowStartTerms{share: 1, multiple: 1, window: second, routers: 1}) || set.parentSlowStart != set.cacheSlowStart {
		t.Errorf("%+v", set)
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
