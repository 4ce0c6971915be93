package cache

import "math"

// Bounds are what a cache bears. The zero value bears all and answers at once.
type Bounds struct {
	Holds int // connections; those beyond are refused; 0 is no bound

	Units float64 // requests that are answered side by side; 0 is no bound
	Work  int64   // ns that one of them takes
	Fill  int64   // ns that an object takes more when it is asked for first

	// A cold cache can do a part of what it can later, rising evenly over a span, and falls when more than
	// N + 3·sqrt(N) + 3 requests come within a window, N being a multiple of what it can do in that.
	ColdShare, Factor float64
	ColdSpan, Window  int64 // ns
	Back              int64 // ns for which it is gone once it fell; then it is back, cold
	Hangs             bool  // it takes connections and answers nothing
}

// Bear is the course of one cache under its bounds: what it does with connections and requests as they come, in whatever
// clock; it does nothing by itself and is not safe for use by two goroutines at once.
type Bear struct {
	Bounds
	Fallen int     // times
	Peak   int     // connections at a time
	Worst  float64 // part of what it bears while cold that came in the worst window
	Denied int     // connections refused

	started int64 // when it last started; 0 is long ago
	gone    int64 // until when it is gone
	open    int
	free    int64 // when what was asked so far is answered
	came    []int64
	held    map[string]bool
}

// NewBear makes a cache that started at a time; 0 is long ago, so that it is warm.
func NewBear(b Bounds, started int64) *Bear {
	return &Bear{Bounds: b, started: started, held: map[string]bool{}}
}

// Started is when it last started, 0 for long ago.
func (b *Bear) Started() int64 { return b.started }

// Gone tells whether it fell and is not back.
func (b *Bear) Gone(now int64) bool { return now < b.gone }

// Connect takes a connection, or refuses it.
func (b *Bear) Connect(now int64) bool {
	if b.Gone(now) || b.Holds > 0 && b.open >= b.Holds {
		b.Denied++
		return false
	}
	b.open++
	b.Peak = max(b.Peak, b.open)
	return true
}

// Disconnect notes that a connection ended.
func (b *Bear) Disconnect() { b.open = max(0, b.open-1) }

// cold is which part of what it can do later it can do now.
func (b *Bear) cold(now int64) float64 {
	if b.started == 0 || b.ColdSpan == 0 || now >= b.started+b.ColdSpan {
		return 1
	}
	return b.ColdShare + (1-b.ColdShare)*float64(max(0, now-b.started))/float64(b.ColdSpan)
}

// bears is how many requests may come within the window now, and whether there is such a bound.
func (b *Bear) bears(now int64) (float64, bool) {
	if b.started == 0 || b.ColdSpan == 0 || now >= b.started+b.ColdSpan || b.Work == 0 || b.Units == 0 {
		return 0, false
	}
	n := b.Factor * b.Units * b.cold(now) * float64(b.Window) / float64(b.Work)
	return n + 3*math.Sqrt(n) + 3, true
}

// Ask takes a request for an object: how long its answer takes and whether it is filled first; or the cache falls under it.
func (b *Bear) Ask(now int64, object string) (wait int64, fill, fell bool) {
	most, bound := b.bears(now)
	for len(b.came) > 0 && b.came[0] <= now-b.Window {
		b.came = b.came[1:]
	}
	if b.came = append(b.came, now); bound {
		b.Worst = max(b.Worst, float64(len(b.came))/most)
		if float64(len(b.came)) > most {
			b.fall(now)
			return 0, false, true
		}
	}
	if b.Units > 0 {
		b.free = max(b.free, now) + int64(float64(b.Work)/b.Units/b.cold(now))
		wait = max(b.Work, b.free-now)
	}
	if fill = !b.held[object]; fill {
		b.held[object] = true
		wait += b.Fill
	}
	return wait, fill, false
}

// fall takes it away for a while; it comes back without what it held.
func (b *Bear) fall(now int64) {
	b.Fallen++
	b.gone = now + b.Back
	b.started = b.gone
	b.open, b.free, b.came, b.held = 0, 0, nil, map[string]bool{}
}
