package idle

import (
	"testing"
	"time"
)

// Hundreds of silent connections are in the backlog ahead of one that has sent a request, and the router may
// use a quarter of a core. The connection with the request is accepted within half a second, whether or not the
// router is saturated, and accepting stays paced.
func TestSilentConnectionsDoNotDelayOthers(t *testing.T) {
	const (
		silentConnections = 500
		cores             = 0.25
	)
	for _, saturated := range []bool{false, true} {
		pacer := NewAcceptPacer(cores)
		accepted, suspended := 0, 0
		now := int64(0)
		for accepted+suspended < silentConnections {
			switch decision, wait := pacer.Decide(now, now, saturated, true); decision {
			case Accept:
				accepted++
			case AcceptSuspended:
				suspended++
			default:
				now += wait
			}
		}
		now = acceptWithRequest(t, pacer, now, saturated)
		if now > second/2 {
			t.Errorf("saturated %v: connection with a request accepted after %v, want 500ms at most",
				saturated, time.Duration(now))
		}
		seconds := time.Duration(now).Seconds()
		if most := acceptRate*cores*delayedAcceptFactor*seconds + 3; float64(accepted) > most {
			t.Errorf("saturated %v: %d connections accepted in %.2f s, want %.0f at most",
				saturated, accepted, seconds, most)
		}
		if most := acceptSuspendedRate*cores*seconds + 8; float64(suspended) > most || suspended < 300 {
			t.Errorf("saturated %v: %d connections suspended, want 300 to %.0f", saturated, suspended, most)
		}
	}
}

// acceptWithRequest calls the pacer until it accepts a connection that has sent a request, and returns the time of
// that call in ns.
func acceptWithRequest(t *testing.T, pacer *AcceptPacer, now int64, saturated bool) int64 {
	t.Helper()
	for {
		decision, wait := pacer.Decide(now, now, saturated, false)
		switch decision {
		case Accept:
			return now
		case AcceptSuspended:
			t.Fatal("a connection that has sent a request was suspended")
		default:
			now += wait
		}
	}
}

// Hundreds of connections that have sent a request are accepted within a second even while the router is
// saturated. The saturated rate applies until a connection may have waited longer than backlogDelayThreshold.
func TestDelayedAcceptsSpeedUp(t *testing.T) {
	const (
		connections = 600
		cores       = 0.25
	)
	pacer := NewAcceptPacer(cores)
	now := int64(0)
	early := 0
	for range connections {
		now = acceptWithRequest(t, pacer, now, true)
		if now <= backlogDelayThreshold {
			early++
		}
	}
	if now > second {
		t.Errorf("the last of %d connections was accepted after %v, want 1s at most", connections, time.Duration(now))
	}
	delaySeconds := time.Duration(backlogDelayThreshold).Seconds()
	if most := acceptRate*cores*saturatedFactor*delaySeconds + 2; float64(early) > most {
		t.Errorf("%d connections accepted within the first %.1f s, want %.0f at most", early, delaySeconds, most)
	}
}

func TestAbandoned(t *testing.T) {
	for _, tc := range []struct {
		waited     int64
		peerClosed bool
		want       bool
	}{
		{0, true, false},
		{20 * millisecond, true, false},
		{100 * millisecond, true, true},
		{second, false, false},
		{-second, true, false},
	} {
		if got := Abandoned(tc.waited, tc.peerClosed); got != tc.want {
			t.Errorf("Abandoned(%v, %v) = %v, want %v", time.Duration(tc.waited), tc.peerClosed, got, tc.want)
		}
	}
}
