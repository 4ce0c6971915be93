package router

import (
	"fmt"
	"strings"
	"testing"
)

// A request's time runs from when it arrived, not from when it was read.
func TestTimeRunsFromTheArrival(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited int64 // ms that it waited to be read; less than 0: not told
		want   int64 // ms that are left, less the way back; 0: it is refused at once
	}{
		{"read at once", 0, 2480},
		{"not told", -1, 2480},
		{"after a second", 1000, 1480},
		{"as its time is over", 2480, 0},
		{"after its time", 9000, 0},
		{"before it came: clocks are read in turn", -50, 2480},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := endings(t)
			e := RequestReceived{Client: 1, Seq: 1, ArrivedAt: p.now - c.waited*millisecond, Fields: map[string]string{"verb": "stills",
				"txn": fmt.Sprintf("%016x", 1), "limit": "2500", "item": object, "nth": "0", "batch": "17"}}
			if c.waited == -1 {
				e.ArrivedAt = 0
			}
			p.take(e)
			if c.want == 0 {
				if got := strings.Join(p.seen, ", "); got != "dismissed 1" {
					t.Errorf("effects %s", got)
				}
				return
			}
			p.up()
			if got := (p.sends[0].Request.Deadline - p.now) / millisecond; got != c.want {
				t.Errorf("%d ms are left, want %d", got, c.want)
			}
		})
	}
}
