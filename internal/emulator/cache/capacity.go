package cache

import "math"

// Limits describes the capacity of a cache. A cache with the zero value serves all requests without delay.
type Limits struct {
	MaxConnections int // further connections are refused; 0: unlimited

	Concurrency float64 // requests that are served in parallel; 0: unlimited, and ServiceTime does not apply
	ServiceTime int64   // ns that it takes to serve one request
	FillTime    int64   // additional ns for a request whose object is not cached yet

	// A cache that is warming up starts with InitialShare of its capacity. The share rises linearly to 1 within
	// WarmUpDuration. Meanwhile the cache crashes if more than N + 3·sqrt(N) + 3 requests arrive within
	// OverloadWindow, where N is OverloadFactor times the number of requests that it can serve in that window.
	InitialShare   float64
	OverloadFactor float64
	WarmUpDuration int64 // ns from a start until the full capacity is reached
	OverloadWindow int64 // ns; length of the window in which requests are counted
	DownTime       int64 // ns from a crash until the cache restarts, empty and warming up

	Unresponsive bool // the cache accepts connections and responds to no request
}

// A cache that is warming up crashes if more than N + overloadDeviations·sqrt(N) + overloadMargin requests arrive
// within a window, see Limits. The terms after N allow for random arrivals.
const (
	overloadDeviations = 3
	overloadMargin     = 3
)

// CapacityModel models the load of one cache with limits. The caller passes the time to its methods, real or
// simulated, in ns. It is not safe for concurrent use.
type CapacityModel struct {
	Limits
	Crashes            int
	PeakConnections    int
	PeakLoad           float64 // while warming up: highest ratio of requests in a window to the overload limit
	RefusedConnections int

	startedAt   int64 // ns; time of the last start, 0: so long ago that the cache is not warming up
	upAt        int64 // ns; time of the restart after the last crash, 0: no crash so far
	connections int
	idleAt      int64           // ns; when all requests so far will have been served
	arrivals    []int64         // ns; arrival times of the requests in the current window
	cached      map[string]bool // by object: whether it is cached
}

// Response describes how a cache responds to one request.
type Response struct {
	Delay   int64 // ns until the response
	Fill    bool  // the object was not cached, so Delay includes FillTime
	Crashed bool  // the request made the cache crash, so there is no response
}

// NewCapacityModel returns the model of a cache that started at a time in ns. With 0 it started long ago and is
// not warming up.
func NewCapacityModel(limits Limits, startedAt int64) *CapacityModel {
	return &CapacityModel{Limits: limits, startedAt: startedAt, cached: map[string]bool{}}
}

// StartedAt returns the time of the cache's last start in ns, or 0 if that was long ago. After a crash it is the time
// of the restart, which may still lie ahead.
func (m *CapacityModel) StartedAt() int64 {
	return m.startedAt
}

// Down reports whether the cache has crashed and has not restarted yet.
func (m *CapacityModel) Down(now int64) bool {
	return now < m.upAt
}

// Connect counts a new connection and reports whether the cache accepts it.
func (m *CapacityModel) Connect(now int64) bool {
	full := m.MaxConnections > 0 && m.connections >= m.MaxConnections
	if full || m.Down(now) {
		m.RefusedConnections++
		return false
	}
	m.connections++
	m.PeakConnections = max(m.PeakConnections, m.connections)
	return true
}

// Disconnect counts the end of an accepted connection.
func (m *CapacityModel) Disconnect() {
	m.connections = max(0, m.connections-1)
}

func (m *CapacityModel) warmingUp(now int64) bool {
	return m.startedAt != 0 && m.WarmUpDuration != 0 && now < m.startedAt+m.WarmUpDuration
}

// capacityShare returns the share of its full capacity that the cache has now. It rises from InitialShare to 1 while
// the cache is warming up.
func (m *CapacityModel) capacityShare(now int64) float64 {
	if !m.warmingUp(now) {
		return 1
	}
	elapsed := float64(max(0, now-m.startedAt))
	return m.InitialShare + (1-m.InitialShare)*elapsed/float64(m.WarmUpDuration)
}

// overloadLimit returns how many requests may arrive within OverloadWindow before the cache crashes, and whether
// there is such a limit now.
func (m *CapacityModel) overloadLimit(now int64) (limit float64, limited bool) {
	if !m.warmingUp(now) || m.ServiceTime == 0 || m.Concurrency == 0 {
		return 0, false
	}
	concurrency := m.OverloadFactor * m.Concurrency * m.capacityShare(now)
	expected := concurrency * float64(m.OverloadWindow) / float64(m.ServiceTime)
	return expected + overloadDeviations*math.Sqrt(expected) + overloadMargin, true
}

// Request counts a request for an object and returns how the cache responds to it.
func (m *CapacityModel) Request(now int64, object string) Response {
	if m.countArrival(now) {
		m.crash(now)
		return Response{Crashed: true}
	}
	var response Response
	if m.Concurrency > 0 {
		m.idleAt = max(m.idleAt, now) + int64(float64(m.ServiceTime)/m.Concurrency/m.capacityShare(now))
		response.Delay = max(m.ServiceTime, m.idleAt-now)
	}
	response.Fill = !m.cached[object]
	if response.Fill {
		m.cached[object] = true
		response.Delay += m.FillTime
	}
	return response
}

// countArrival counts a request that arrives now and reports whether it exceeds the overload limit.
func (m *CapacityModel) countArrival(now int64) bool {
	limit, limited := m.overloadLimit(now)
	for len(m.arrivals) > 0 && m.arrivals[0] <= now-m.OverloadWindow {
		m.arrivals = m.arrivals[1:]
	}
	m.arrivals = append(m.arrivals, now)
	if !limited {
		return false
	}
	count := float64(len(m.arrivals))
	m.PeakLoad = max(m.PeakLoad, count/limit)
	return count > limit
}

// crash takes the cache down for DownTime. All connections and cached objects are lost.
func (m *CapacityModel) crash(now int64) {
	m.Crashes++
	m.upAt = now + m.DownTime
	m.startedAt = m.upAt
	m.connections = 0
	m.idleAt = 0
	m.arrivals = nil
	m.cached = map[string]bool{}
}
