package simulation

import "math/rand/v2"

// Host holds the faults of one simulated process and its network. The zero value is a process that was never started
// and has no faults.
type Host struct {
	Incarnation  int   // number of starts so far; timers and responses of earlier incarnations are ignored
	Stopped      bool  // killed and not yet started again
	PausedUntil  int64 // the process runs nothing until this time, as if suspended; no message is lost
	Partition    int   // messages pass only between hosts with the same number
	InboundLost  bool  // all messages to the process are lost
	OutboundLost bool  // all messages from the process are lost
}

// Start starts the next incarnation of the process. Its network faults remain.
func (h *Host) Start() {
	h.Incarnation++
	h.Stopped = false
	h.PausedUntil = 0
}

// Paused reports whether the process is suspended at a time.
func (h *Host) Paused(now int64) bool { return h.PausedUntil > now }

// Running reports whether the process is neither stopped nor paused at a time.
func (h *Host) Running(now int64) bool { return !h.Stopped && !h.Paused(now) }

// Reaches reports whether the network lets messages from this host pass to another.
func (h *Host) Reaches(other *Host) bool {
	return !h.OutboundLost && !other.InboundLost && h.Partition == other.Partition
}

// SplitAtRandom puts each host into one of two partitions.
func SplitAtRandom(random *rand.Rand, hosts []*Host) {
	for _, host := range hosts {
		host.Partition = random.IntN(2)
	}
}

// HealNetwork ends all partitions and one-way losses of the hosts.
func HealNetwork(hosts []*Host) {
	for _, host := range hosts {
		host.Partition, host.InboundLost, host.OutboundLost = 0, false, false
	}
}

// Latency is the distribution of the network's latency, in ns: Min plus a uniformly distributed part below Jitter.
type Latency struct{ Min, Jitter int64 }

// LatencyAround returns a latency between 0.5 and 1.5 times a mean.
func LatencyAround(mean int64) Latency { return Latency{Min: mean / 2, Jitter: mean} }

// Network loses and delays messages. Each call of LosesNext or Delay draws once from the simulation's source of
// randomness.
type Network struct {
	Loss    float64 // probability that a message is lost
	Latency Latency
	random  *rand.Rand
}

// NewNetwork creates a network that loses no messages, unless the caller sets Loss.
func NewNetwork(random *rand.Rand, latency Latency) *Network {
	return &Network{Latency: latency, random: random}
}

// LosesNext draws at random whether the next message is lost.
func (n *Network) LosesNext() bool { return n.random.Float64() < n.Loss }

// Delay draws the latency of the next message, in ns.
func (n *Network) Delay() int64 { return n.Latency.Min + n.random.Int64N(n.Latency.Jitter) }

// Clock is a process's monotonic clock, which runs a little faster or slower than simulated time.
type Clock struct {
	startedAt int64   // simulated time at which the clock read 0
	rate      float64 // ns by which the clock advances per ns of simulated time
}

// NewClock creates a clock with a random rate between 1-maxDrift and 1+maxDrift.
func NewClock(random *rand.Rand, maxDrift float64) Clock {
	return Clock{rate: 1 + maxDrift*(2*random.Float64()-1)}
}

// Restart sets the clock to 0, as a start of the process does.
func (c *Clock) Restart(now int64) { c.startedAt = now }

// Read returns the clock's reading at a simulated time: the ns since the process started.
func (c *Clock) Read(now int64) int64 { return int64(float64(now-c.startedAt) * c.rate) }

// TimeAt returns a simulated time at which the clock has reached a reading.
func (c *Clock) TimeAt(reading int64) int64 { return c.startedAt + c.SimulatedDuration(reading) }

// SimulatedDuration returns the simulated time, rounded up, in which the clock advances by a duration.
func (c *Clock) SimulatedDuration(duration int64) int64 { return int64(float64(duration)/c.rate) + 1 }
