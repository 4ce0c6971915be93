package cache

import "math"

// Limits are what a cache can do. The zero value serves everything at once.
type Limits struct {
	MaxConnections int // those beyond are refused; 0 is no bound

	Concurrency float64 // requests that are served side by side; 0 is no bound
	ServiceTime int64   // ns that one of them takes
	FillTime    int64   // ns that it takes longer where the cache does not hold the object yet

	// A cache that warms up starts with InitialShare of its capacity, which rises evenly to all of it within
	// WarmUpDuration. While it warms up it crashes if more than N + 3·sqrt(N) + 3 requests come within
	// OverloadWindow, N being OverloadFactor times what it can serve in that.
	InitialShare   float64
	OverloadFactor float64
	WarmUpDuration int64 // ns
	OverloadWindow int64 // ns
	DownTime       int64 // ns from a crash until it is up again, empty and warming up

	Unresponsive bool // it accepts connections and answers nothing
}

// overloadDeviations is how many times the root of the expected number of requests may come beside it, and
// overloadMargin how many more, before a cache that warms up crashes.
const (
	overloadDeviations = 3
	overloadMargin     = 3
)

// CapacityModel is the state of one cache under its limits: what it does with connections and requests as they
// come, by any clock. It does nothing by itself and is not safe for use by two goroutines at once.
type CapacityModel struct {
	Limits
	Crashes            int
	PeakConnections    int
	PeakLoad           float64 // most requests in a window while it warmed up, as a share of those at which it crashes
	RefusedConnections int

	startedAt   int64 // of its last start, ns; 0 is long ago
	upAt        int64 // when it is up again after a crash
	connections int
	idleAt      int64   // when everything requested so far is served
	arrivals    []int64 // of the requests of the last window
	held        map[string]bool
}

// Response is what a cache does with one request.
type Response struct {
	Delay   int64 // ns until it is answered
	Fill    bool  // the cache did not hold the object
	Crashed bool  // there is no answer: the cache crashed under this request
}

// NewCapacityModel returns a cache that started at a time; 0 is long ago, so that it is warm.
func NewCapacityModel(limits Limits, startedAt int64) *CapacityModel {
	return &CapacityModel{Limits: limits, startedAt: startedAt, held: map[string]bool{}}
}

// StartedAt returns when it last started, 0 for long ago.
func (m *CapacityModel) StartedAt() int64 {
	return m.startedAt
}

// Down tells whether it crashed and is not up again.
func (m *CapacityModel) Down(now int64) bool {
	return now < m.upAt
}

// Connect accepts a connection, or refuses it.
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

// Disconnect notes that a connection ended.
func (m *CapacityModel) Disconnect() {
	m.connections = max(0, m.connections-1)
}

func (m *CapacityModel) warmingUp(now int64) bool {
	return m.startedAt != 0 && m.WarmUpDuration != 0 && now < m.startedAt+m.WarmUpDuration
}

// capacityShare returns the share of its capacity that it has now.
func (m *CapacityModel) capacityShare(now int64) float64 {
	if !m.warmingUp(now) {
		return 1
	}
	elapsed := float64(max(0, now-m.startedAt))
	return m.InitialShare + (1-m.InitialShare)*elapsed/float64(m.WarmUpDuration)
}

// overloadLimit returns how many requests may come within the window now, and whether there is such a bound.
func (m *CapacityModel) overloadLimit(now int64) (limit float64, bounded bool) {
	if !m.warmingUp(now) || m.ServiceTime == 0 || m.Concurrency == 0 {
		return 0, false
	}
	concurrency := m.OverloadFactor * m.Concurrency * m.capacityShare(now)
	expected := concurrency * float64(m.OverloadWindow) / float64(m.ServiceTime)
	return expected + overloadDeviations*math.Sqrt(expected) + overloadMargin, true
}

// Request takes a request for an object.
func (m *CapacityModel) Request(now int64, object string) Response {
	if m.overloads(now) {
		m.crash(now)
		return Response{Crashed: true}
	}
	var response Response
	if m.Concurrency > 0 {
		m.idleAt = max(m.idleAt, now) + int64(float64(m.ServiceTime)/m.Concurrency/m.capacityShare(now))
		response.Delay = max(m.ServiceTime, m.idleAt-now)
	}
	response.Fill = !m.held[object]
	if response.Fill {
		m.held[object] = true
		response.Delay += m.FillTime
	}
	return response
}

// overloads counts a request that comes now and tells whether the cache crashes under it.
func (m *CapacityModel) overloads(now int64) bool {
	limit, bounded := m.overloadLimit(now)
	for len(m.arrivals) > 0 && m.arrivals[0] <= now-m.OverloadWindow {
		m.arrivals = m.arrivals[1:]
	}
	m.arrivals = append(m.arrivals, now)
	if !bounded {
		return false
	}
	count := float64(len(m.arrivals))
	m.PeakLoad = max(m.PeakLoad, count/limit)
	return count > limit
}

// crash takes it down for a while. It comes up again without what it held.
func (m *CapacityModel) crash(now int64) {
	m.Crashes++
	m.upAt = now + m.DownTime
	m.startedAt = m.upAt
	m.connections = 0
	m.idleAt = 0
	m.arrivals = nil
	m.held = map[string]bool{}
}
