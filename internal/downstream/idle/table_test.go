package idle

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
	"unsafe"
)

// Durations in ns, the unit of all times in the package.
const (
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
)

// Networks of newTestTable, as indexes of its policies. There is no policy for unknownNetwork.
const (
	unlimitedNetwork = 0
	limitedNetwork   = 1
	unknownNetwork   = 9
)

// newTestTable returns a table with two networks. The second one allows 3 connections, and 2 from one client.
func newTestTable(maxConnections int) *Table {
	policies := []Policy{
		{FirstRequestTimeout: 2 * second, IdleTimeout: 10 * second},
		{FirstRequestTimeout: 2 * second, IdleTimeout: 60 * second, MaxConnections: 3, MaxPerClient: 2},
	}
	return NewTable(Limits{MaxConnections: maxConnections, Cores: 1}, policies, 1)
}

// mustAdd adds a connection and fails the test if it is not admitted.
func mustAdd(t *testing.T, table *Table, now int64, client uint64, network uint16) ID {
	t.Helper()
	id, verdict := table.Add(now, client, network)
	if verdict != Admitted {
		t.Fatalf("Add returned verdict %d, want %d (Admitted)", verdict, Admitted)
	}
	return id
}

func TestAddEnforcesLimits(t *testing.T) {
	table := newTestTable(5)
	for i, step := range []struct {
		client  uint64
		network uint16
		want    Verdict
	}{
		{1, limitedNetwork, Admitted},
		{1, limitedNetwork, Admitted},
		{1, limitedNetwork, ClientLimitReached},
		{2, limitedNetwork, Admitted},
		{3, limitedNetwork, NetworkLimitReached},
		{1, unlimitedNetwork, Admitted},
		{1, unknownNetwork, Admitted},
		{4, unlimitedNetwork, TableFull},
	} {
		id, verdict := table.Add(0, step.client, step.network)
		if verdict != step.want {
			t.Errorf("connection %d: verdict %d, want %d", i, verdict, step.want)
		}
		if verdict != Admitted && id != None {
			t.Errorf("connection %d: not admitted, but got ID %d, want None", i, id)
		}
	}
	if table.Len() != 5 {
		t.Errorf("table has %d connections, want 5", table.Len())
	}
}

func TestRemovedIDIsReusedWithAnotherGeneration(t *testing.T) {
	table := newTestTable(2)
	removed := mustAdd(t, table, 0, 1, unlimitedNetwork)
	mustAdd(t, table, 0, 1, unlimitedNetwork)
	generation := table.Generation(removed)
	table.Remove(removed)
	table.Remove(removed) // removing it twice has no effect
	table.SetState(0, removed, StateIdle)
	if table.Len() != 1 || table.Count(StateIdle) != 0 {
		t.Errorf("table has %d connections, %d of them idle; want 1 and none idle", table.Len(), table.Count(StateIdle))
	}
	reused := mustAdd(t, table, 0, 7, unlimitedNetwork)
	if reused != removed || table.Generation(reused) == generation {
		t.Errorf("new connection has ID %d and generation %d; want ID %d and a generation other than %d",
			reused, table.Generation(reused), removed, generation)
	}
	if table.Len() != 2 {
		t.Errorf("table has %d connections, want 2", table.Len())
	}
}

// model holds the connections that a Table should hold, by ID. The test applies each change to the table and to its
// model.
type model map[ID]modelConnection

type modelConnection struct {
	state State
	since int64
}

func TestTableMatchesModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := newTestTable(50)
	model := model{}
	for now := int64(1); now < 20000; now++ {
		if rng.IntN(3) == 0 {
			if id, verdict := table.Add(now, rng.Uint64N(9), unlimitedNetwork); verdict == Admitted {
				if _, used := model[id]; used {
					t.Fatalf("Add returned ID %d, which is still in use", id)
				}
				model[id] = modelConnection{StateNew, now}
			}
		}
		for id, connection := range model {
			switch rng.IntN(40) {
			case 0:
				table.Remove(id)
				delete(model, id)
			case 1, 2, 3:
				state := State(rng.IntN(int(numStates)))
				table.SetState(now, id, state)
				if state != connection.state {
					model[id] = modelConnection{state, now}
				}
			}
		}
		model.compare(t, table)
	}
}

// compare checks a table's connection counts, and the time at which its oldest idle connection became idle, against
// the model.
func (m model) compare(t *testing.T, table *Table) {
	t.Helper()
	var counts [numStates]int
	oldestIdle := int64(1 << 62)
	for _, connection := range m {
		counts[connection.state]++
		if connection.state == StateIdle {
			oldestIdle = min(oldestIdle, connection.since)
		}
	}
	for state := range numStates {
		if table.Count(state) != counts[state] {
			t.Fatalf("%d connections in state %v, want %d", table.Count(state), state, counts[state])
		}
	}
	if id := table.oldest(StateIdle); id != None && table.StateSince(id) != oldestIdle {
		t.Fatalf("the oldest idle connection became idle at %d ns, want %d ns", table.StateSince(id), oldestIdle)
	}
}

func TestEntryIsSmallAndHasNoPointers(t *testing.T) {
	if size := unsafe.Sizeof(entry{}); size > 40 {
		t.Errorf("entry has %d bytes, want 40 at most", size)
	}
	fields := reflect.TypeFor[entry]()
	for i := range fields.NumField() {
		field := fields.Field(i)
		if kind := field.Type.Kind(); kind < reflect.Int || kind > reflect.Uint64 {
			t.Errorf("field %s of entry is a %v, want an integer", field.Name, kind)
		}
	}
}

func BenchmarkSetState(b *testing.B) {
	const connections = 100000
	policies := []Policy{{IdleTimeout: second, MaxJitter: millisecond}}
	table := NewTable(Limits{MaxConnections: connections, Cores: 1}, policies, 1)
	var ids []ID
	for range connections {
		id, _ := table.Add(0, 1, unlimitedNetwork)
		ids = append(ids, id)
	}
	for i := 0; b.Loop(); i++ {
		table.SetState(int64(i), ids[i%len(ids)], StateActive)
		table.SetState(int64(i), ids[i%len(ids)], StateIdle)
	}
}
