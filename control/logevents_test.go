package control

import (
	"math"
	"regexp"
	"testing"

	"tealpath/internal/logevent"
)

func TestLogEventText(t *testing.T) {
	for _, test := range []struct {
		event logevent.Event
		want  string
	}{
		{
			EndpointEjected{Endpoint: 17, SilenceScore: 6.2, Failures: 4, Attempts: 5},
			"endpoint ejected as an outlier endpoint=17 silence_score=6.2 failures=4 attempts=5",
		},
		{
			EndpointRestored{Endpoint: 17},
			"endpoint restored after a successful probe endpoint=17",
		},
		{
			AdmissionLimitReduced{RequestKind: fills.String(), Limit: 0.59},
			"admission limit reduced request_kind=fills limit=0.59",
		},
		{
			AdmissionLimitRestored{RequestKind: hits.String(), Limit: 2.01},
			"admission limit restored request_kind=hits limit=2.01",
		},
		{
			ClockAhead{},
			"clock of this machine is ahead of other machines' clocks: " +
				"a cache sent an entry from before a purge, purges count from their arrival from now on",
		},
	} {
		t.Run(test.event.Kind().Name, func(t *testing.T) {
			if got := logevent.Text(test.event); got != test.want {
				t.Errorf("text %q, want %q", got, test.want)
			}
		})
	}
}

func TestLogEventsOfEndpointsHaveTheirID(t *testing.T) {
	for _, event := range []interface{ EndpointID() uint32 }{
		EndpointEjected{Endpoint: 17},
		EndpointRestored{Endpoint: 17},
	} {
		if got := event.EndpointID(); got != 17 {
			t.Errorf("%T: endpoint %d, want 17", event, got)
		}
	}
}

func TestLogEventNamesAreUniqueSnakeCase(t *testing.T) {
	snakeCase := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := map[string]bool{}
	for _, event := range LogEvents() {
		name := event.Kind().Name
		if !snakeCase.MatchString(name) || seen[name] || event.Kind().Message == "" {
			t.Errorf("event %+v: want a unique name in snake case, and a message", event.Kind())
		}
		seen[name] = true
	}
}

func TestRounded(t *testing.T) {
	for _, test := range []struct {
		value    float64
		decimals int
		want     float64
	}{
		{6.25, scoreDecimals, 6.2}, // halfway between 6.2 and 6.3: rounded to the even digit, as in package fmt
		{6.2501, scoreDecimals, 6.3},
		{-0.589, limitDecimals, -0.59},
		{math.Inf(1), scoreDecimals, math.Inf(1)},
	} {
		if got := rounded(test.value, test.decimals); got != test.want {
			t.Errorf("%v to %d decimals is %v, want %v", test.value, test.decimals, got, test.want)
		}
	}
}

// An operator must see one log event when a limit falls below half of its initial value and one when it is back at the
// initial value, but none for each small change in between.
func TestAdmissionLimitChangesAreLogged(t *testing.T) {
	var logged []logevent.Event
	router := New(start, 7, testSettings(nil), func(event logevent.Event) { logged = append(logged, event) })
	attempt := &attemptState{kind: fills, cache: &endpointState{}}
	inTime := assessment{result: Succeeded, inTime: true}
	late := assessment{result: Succeeded}
	for range 20 {
		router.adjustLimit(attempt, late)
	}
	for range 200 {
		router.adjustLimit(attempt, inTime)
	}
	want := []logevent.Event{
		AdmissionLimitReduced{RequestKind: "fills", Limit: 0.57},
		AdmissionLimitRestored{RequestKind: "fills", Limit: 1.2},
	}
	if len(logged) != len(want) || logged[0] != want[0] || logged[1] != want[1] {
		t.Errorf("logged %#v, want %#v", logged, want)
	}
}
