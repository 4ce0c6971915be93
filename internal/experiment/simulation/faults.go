package simulation

import "math/rand/v2"

// Host holds the faults of one simulated process. The zero value is a process without faults that was never started.
type Host struct {
	Incarnation  int   // number of starts so far; timers and responses of earlier incarnations are ignored
	Stopped      bool  // killed, and not started again yet
	PausedUntil  int64 // the process runs nothing before this time, and loses nothing
	Partition    int   // messages pass only between hosts with the same number
	InboundLost  bool  // no message to the process arrives
	OutboundLost bool  // no message from the process arrives
}

// Start starts the next incarnation of the process. Faults of its network remain.
func (h *Host) Start() {
	h.Incarnation++
	h.Stopped = false
	h.PausedUntil = 0
}

// Paused reports whether the process is paused at a time.
func (h *Host) Paused(now int64) bool { return h.PausedUntil > now }

// Running reports whether the process is neither stopped nor paused at a time.
func (h *Host) Running(now int64) bool { return !h.Stopped && !h.Paused(now) }

// Reaches reports whether a message from this host can reach another.
func (h *Host) Reaches(other *Host) bool {
	return !h.OutboundLost && !other.InboundLost && h.Partition == other.Partition
}

// SplitAtRandom puts each host into one of two partitions.
func SplitAtRandom(random *rand.Rand, hosts []*Host) {
	for _, host := range hosts {
		host.Partition = random.IntN(2)
	}
}

// HealNetwork ends all partitions and one-sided losses.
func HealNetwork(hosts []*Host) {
	for _, host := range hosts {
		host.Partition, host.InboundLost, host.OutboundLost = 0, false, false
	}
}

// Latency describes the latency of messages, ns: Min plus a uniformly distributed time below Jitter.
type Latency struct{ Min, Jitter int64 }

// LatencyAround returns latencies from 0.5 to 1.5 times a mean.
func LatencyAround(mean int64) Latency { return Latency{Min: mean / 2, Jitter: mean} }

// Network loses and delays messages. LosesNext and Delay each draw one number from the simulation's random source.
type Network struct {
	Loss    float64 // share of all messages, from 0 to 1
	Latency Latency
	random  *rand.Rand
}

// NewNetwork returns a network without loss.
func NewNetwork(random *rand.Rand, latency Latency) *Network {
	return &Network{Latency: latency, random: random}
}

// LosesNext reports whether the next message is lost.
func (n *Network) LosesNext() bool { return n.random.Float64() < n.Loss }

// Delay returns the latency of the next message, ns.
func (n *Network) Delay() int64 { return n.Latency.Min + n.random.Int64N(n.Latency.Jitter) }

// Clock is a process's monotonic clock, which runs a little faster or slower than simulated time.
type Clock struct {
	startedAt int64
	rate      float64
}

// NewClock returns a clock with a random rate whose relative error is at most maxDrift. 0.01 is 1%.
func NewClock(random *rand.Rand, maxDrift float64) Clock {
	return Clock{rate: 1 + maxDrift*(2*random.Float64()-1)}
}

// Restart sets the clock to zero, as at the start of a process.
func (c *Clock) Restart(now int64) { c.startedAt = now }

// Read returns the clock's reading at a simulated time, ns since the process started.
func (c *Clock) Read(now int64) int64 { return int64(float64(now-c.startedAt) * c.rate) }

// TimeAt returns a simulated time at which the clock has just reached a reading.
func (c *Clock) TimeAt(reading int64) int64 { return c.startedAt + c.SimulatedDuration(reading) }

// SimulatedDuration returns the simulated time in which the clock advances by a duration.
func (c *Clock) SimulatedDuration(duration int64) int64 { return int64(float64(duration)/c.rate) + 1 }
