package idle

import "testing"

func TestEvictionCandidateOrder(t *testing.T) {
	const maxRequestTime = 300 * millisecond
	table := newTestTable(10)
	add := func(now int64) ID { return mustAdd(t, table, now, 1, unlimitedNetwork) }
	expect := func(now int64, want ID) {
		t.Helper()
		if got := table.EvictionCandidate(now, maxRequestTime); got != want {
			t.Fatalf("EvictionCandidate returned connection %d, want %d", got, want)
		}
	}
	withoutRequest, active, idle, closing, idleForLonger := add(0), add(1), add(2), add(3), add(3)
	table.SetState(3, idleForLonger, StateActive)
	table.SetState(4, idleForLonger, StateIdle)
	table.SetState(4, active, StateActive)
	table.SetState(5, idle, StateActive)
	table.SetState(6, idle, StateIdle)
	table.SetState(7, closing, StateClosing)
	for _, want := range []ID{closing, withoutRequest, idleForLonger, idle} {
		expect(second, want)
		table.Remove(want)
	}
	expect(second, None) // the remaining connections are active and must not be evicted

	// A new connection whose first request may still arrive is evicted after an idle one.
	justConnected := add(second)
	idle = add(second - 100*millisecond)
	table.SetState(second-100*millisecond, idle, StateIdle)
	expect(second+100*millisecond, idle)
	table.Remove(idle)
	expect(second+100*millisecond, justConnected)

	// A connection whose request has not arrived within maxRequestTime is evicted before an idle one.
	table.SetState(second, justConnected, StateReading)
	idle = add(second)
	table.SetState(second, idle, StateIdle)
	expect(second+100*millisecond, idle)
	expect(second+maxRequestTime, justConnected)
}

// If thirty thousand connections expire at the same instant, closing all of them at once would take processor time
// from requests. They are closed at a limited rate.
func TestMassExpiryIsPaced(t *testing.T) {
	const count = 30000
	for _, tc := range []struct {
		name      string
		saturated bool
		want      float64 // expected number of connections closed in 10 s
	}{
		{"not saturated", false, closeRate * 10},
		{"saturated", true, closeRate * 10 * saturatedFactor},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTestTable(count)
			for range count {
				id := mustAdd(t, table, 0, 1, unlimitedNetwork)
				table.SetState(0, id, StateActive)
				table.SetState(0, id, StateIdle)
			}
			closed := 0
			for now := int64(0); now < 20*second; now += millisecond {
				closedNow := closeExpired(t, table, now, tc.saturated)
				if closedNow > 0 && now < 10*second {
					t.Fatalf("connections closed after %d ms, want none before their timeout of 10 s", now/millisecond)
				}
				closed += closedNow
			}
			if float64(closed) < 0.95*min(tc.want, count) || float64(closed) > 1.05*tc.want {
				t.Errorf("%d connections closed in 10 s, want about %.0f", closed, tc.want)
			}
		})
	}
}

// closeExpired removes from the table all connections that NextExpired returns at the time now, and returns their
// number.
func closeExpired(t *testing.T, table *Table, now int64, saturated bool) (closed int) {
	t.Helper()
	for {
		id, callAt := table.NextExpired(now, saturated)
		if id == None {
			if callAt <= now && table.Len() > 0 {
				t.Fatal("NextExpired returned no connection but is to be called again at once")
			}
			return closed
		}
		table.Remove(id)
		closed++
	}
}

func TestJitterSpreadsExpiry(t *testing.T) {
	const count = 1000
	policies := []Policy{{IdleTimeout: second, MaxJitter: second}}
	table := NewTable(Limits{MaxConnections: count, Cores: 100}, policies, 1)
	for range count {
		table.SetState(0, mustAdd(t, table, 0, 1, unlimitedNetwork), StateIdle)
	}
	early := closeExpired(t, table, second+second/4, false)
	if early > 400 {
		t.Errorf("%d of %d connections expired within a quarter of the jitter, want 400 at most", early, count)
	}
}

func TestRequestAtExpiryRestartsTimeout(t *testing.T) {
	table := newTestTable(10)
	id := mustAdd(t, table, 0, 1, unlimitedNetwork)
	table.SetState(0, id, StateIdle)
	if got, _ := table.NextExpired(10*second, false); got != id {
		t.Fatalf("at 10 s: connection %d expired, want %d", got, id)
	}
	table.SetState(10*second, id, StateActive)
	if got, callAt := table.NextExpired(20*second, false); got != None || callAt < 1<<60 {
		t.Errorf("while active: connection %d expired, next call at %d ns; want none to expire", got, callAt)
	}
	table.SetState(20*second, id, StateIdle)
	if _, callAt := table.NextExpired(20*second, false); callAt != 30*second {
		t.Errorf("idle again: the connection expires at %d ms, want 30000 ms", callAt/millisecond)
	}
}

func TestConnectionWithoutRequestExpires(t *testing.T) {
	table := newTestTable(10)
	id := mustAdd(t, table, 0, 1, unlimitedNetwork)
	if got, callAt := table.NextExpired(2*second-1, false); got != None || callAt != 2*second {
		t.Errorf("before 2 s: connection %d expired, next call at %d ns; want none to expire before 2 s", got, callAt)
	}
	if got, _ := table.NextExpired(2*second, false); got != id {
		t.Errorf("at 2 s: connection %d expired, want %d", got, id)
	}
}
