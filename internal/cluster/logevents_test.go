package cluster

import (
	"reflect"
	"testing"

	"tealpath/internal/cluster/membership"
	"tealpath/internal/logevent"
)

// checkKinds fails the test if an event has no message, or if its name is empty or that of another event.
func checkKinds(t *testing.T, events []logevent.Event) {
	t.Helper()
	seen := map[string]bool{}
	for _, event := range events {
		kind := event.Kind()
		if kind.Name == "" || kind.Message == "" || seen[kind.Name] {
			t.Errorf("%T: kind %+v has an empty message or an empty or repeated name", event, kind)
		}
		seen[kind.Name] = true
	}
}

func TestLogEvents(t *testing.T) { checkKinds(t, LogEvents()) }

// Operators search the log by event name, so each change of state, of one member or of many, must have its own event,
// which must contain the previous state.
func TestTransitionEvents(t *testing.T) {
	change := membership.Change{Member: membership.Member{Entry: membership.Entry{Name: "b"}}, Reason: "silent for c"}
	for _, test := range []struct {
		state     membership.State
		one, many logevent.Event
	}{
		{
			membership.Alive,
			MemberAlive{Member: "b", Previous: "unheard", Cause: "silent for c"},
			MembersAlive{Members: 9, Previous: "unheard"},
		},
		{
			membership.Dead,
			MemberDead{Member: "b", Previous: "unheard", Cause: "silent for c"},
			MembersDead{Members: 9, Previous: "unheard"},
		},
		{
			membership.Left,
			MemberLeft{Member: "b", Previous: "unheard", Cause: "silent for c"},
			MembersLeft{Members: 9, Previous: "unheard"},
		},
	} {
		t.Run(test.state.String(), func(t *testing.T) {
			kind := transition{test.state, membership.Unheard}
			if got := memberEvent(kind, change); got != test.one {
				t.Errorf("event for one member: %+v, want %+v", got, test.one)
			}
			if got := membersEvent(kind, 9); got != test.many {
				t.Errorf("event for many members: %+v, want %+v", got, test.many)
			}
		})
	}
}

// Each reason for a change of this instance's own condition must be logged as its own event, not as that of another
// reason.
func TestOwnChangeEvents(t *testing.T) {
	for reason, want := range map[string]logevent.Event{
		membership.ReasonAway:        InstanceWasAway{},
		membership.ReasonCutOff:      InstanceCutOff{},
		membership.ReasonReconnected: InstanceReconnected{},
	} {
		t.Run(reason, func(t *testing.T) {
			node := newCluster(t)["a"]
			node.effects = nil
			node.logOwnChange(reason)
			if len(node.effects) != 1 || node.effects[0] != (Log{want}) {
				t.Errorf("effects %+v, want one Log of %+v", node.effects, want)
			}
		})
	}
}

// If an instance takes over many slots, one event per slot would fill the log. Changes that differ in ballot or cause,
// or that are not consecutive, must not be merged.
func TestLeaseChangesAreCombined(t *testing.T) {
	var changes leaseChanges
	changes.add(leaseChange{acquired: true, ballot: 7}, 1)
	changes.add(leaseChange{acquired: true, ballot: 7}, 2)
	changes.add(leaseChange{acquired: true, ballot: 8}, 3)
	changes.add(leaseChange{ballot: 8, cause: "handed to b"}, 4)
	changes.add(leaseChange{ballot: 8, cause: "handed to c"}, 5)
	changes.add(leaseChange{acquired: true, ballot: 7}, 6)
	var got []logevent.Event
	for _, change := range changes {
		got = append(got, change.event())
	}
	want := []logevent.Event{
		LeasesAcquired{Slots: []int{1, 2}, Ballot: 7},
		LeasesAcquired{Slots: []int{3}, Ballot: 8},
		LeasesLost{Slots: []int{4}, Ballot: 8, Cause: "handed to b"},
		LeasesLost{Slots: []int{5}, Ballot: 8, Cause: "handed to c"},
		LeasesAcquired{Slots: []int{6}, Ballot: 7},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("events %+v, want %+v", got, want)
	}
}
