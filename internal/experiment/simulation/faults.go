package simulation

import "math/rand/v2"

// Host is what faults do to one simulated process. Its zero value is a process that was never started and
// has no fault.
type Host struct {
	Incarnation  int   // starts of the process so far; timers and answers of a former one are void
	Stopped      bool  // killed, and not started again yet
	PausedUntil  int64 // a stopped or starved process: nothing runs before this time, nothing is lost either
	Partition    int   // messages pass only between hosts of the same number
	InboundLost  bool  // nothing that is sent to it arrives
	OutboundLost bool  // nothing that it sends arrives
}

// Start begins the next incarnation of the process. Faults of its network stay.
func (h *Host) Start() {
	h.Incarnation++
	h.Stopped = false
	h.PausedUntil = 0
}

// Paused tells whether the process does nothing at a time.
func (h *Host) Paused(now int64) bool { return h.PausedUntil > now }

// Running tells whether the process is there and not paused.
func (h *Host) Running(now int64) bool { return !h.Stopped && !h.Paused(now) }

// Reaches tells whether the network lets a message of one host pass to another.
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

// Latency is how long messages are under way: Min and an evenly distributed part below Jitter, in ns.
type Latency struct{ Min, Jitter int64 }

// LatencyAround gives latencies from half of a mean to one and a half of it.
func LatencyAround(mean int64) Latency { return Latency{Min: mean / 2, Jitter: mean} }

// Network loses and delays messages. Each question draws once from the simulation's source of randomness.
type Network struct {
	Loss    float64 // part of all messages, from 0 to 1
	Latency Latency
	random  *rand.Rand
}

// NewNetwork makes a network without loss.
func NewNetwork(random *rand.Rand, latency Latency) *Network {
	return &Network{Latency: latency, random: random}
}

// LosesNext draws whether the next message is lost.
func (n *Network) LosesNext() bool { return n.random.Float64() < n.Loss }

// Delay draws how long the next message is under way.
func (n *Network) Delay() int64 { return n.Latency.Min + n.random.Int64N(n.Latency.Jitter) }

// Clock is a process's monotonic clock, which runs a little faster or slower than simulated time.
type Clock struct {
	startedAt int64
	rate      float64
}

// NewClock draws a clock whose rate is off by at most a share: 0.01 is one part in a hundred.
func NewClock(random *rand.Rand, maxDrift float64) Clock {
	return Clock{rate: 1 + maxDrift*(2*random.Float64()-1)}
}

// Restart has the clock begin at zero, as a process's clock does when it starts.
func (c *Clock) Restart(now int64) { c.startedAt = now }

// Read is what the clock shows, ns since its process started.
func (c *Clock) Read(now int64) int64 { return int64(float64(now-c.startedAt) * c.rate) }

// TimeAt is the simulated time from which on the clock shows a reading.
func (c *Clock) TimeAt(reading int64) int64 { return c.startedAt + c.SimulatedDuration(reading) }

// SimulatedDuration is how long it takes in simulated time until the clock has moved on by a duration.
func (c *Clock) SimulatedDuration(duration int64) int64 { return int64(float64(duration)/c.rate) + 1 }
