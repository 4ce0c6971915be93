package testcluster

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	loadDialTimeout  = 5 * time.Second
	loadWriteTimeout = time.Second

	// lastResponseWait is how long Run waits for responses after the last request.
	lastResponseWait = 1500 * time.Millisecond

	// loadObjects is the number of different objects that are requested.
	loadObjects = 200

	maxLatencyMicros     = 10_000_000
	latencyPrecision     = 3 // significant digits of recorded latencies
	loadSeedA, loadSeedB = 1, 2
)

// Load sends requests at a fixed rate. Each request is sent when it is due, even if earlier ones are still pending,
// and its latency counts from the due time. This avoids coordinated omission: a router that blocks the client would
// otherwise appear fast.
type Load struct {
	Rate                  float64 // requests per second over all addresses together
	Addresses             []string
	ConnectionsPerAddress int // number of connections to each address, each of them a client
}

// LoadResult is the outcome of a load.
type LoadResult struct {
	Sent      int
	Served    int
	Failed    int                     // requests not sent or answered with an error; responses to no pending request
	Lost      int                     // requests without a response
	Latencies *hdrhistogram.Histogram // latencies in µs of requests with a response
}

// LatencyMS returns a percentile of the latency in milliseconds.
func (r LoadResult) LatencyMS(percentile float64) float64 {
	return float64(r.Latencies.ValueAtQuantile(percentile)) / 1000
}

// Run sends the load until the context ends or the duration has passed, and then waits for the last responses.
func (l Load) Run(ctx context.Context, duration time.Duration) (LoadResult, error) {
	run := &loadRun{result: LoadResult{Latencies: hdrhistogram.New(1, maxLatencyMicros, latencyPrecision)}}
	defer run.readers.Wait()
	if err := run.connect(l); err != nil {
		return run.result, err
	}
	run.send(ctx, l.Rate, duration)
	time.Sleep(lastResponseWait)
	run.close()
	run.readers.Wait()
	return run.result, nil
}

// loadRun holds the connections and the counts of one call of Load.Run.
type loadRun struct {
	connections []*loadConnection
	readers     sync.WaitGroup

	mu     sync.Mutex // never held together with a connection's lock
	result LoadResult // mu guards Served, Failed and Latencies while readers run
}

// loadConnection is one client of a router. It opens a new connection after the router has closed the previous one.
type loadConnection struct {
	address string

	mu       sync.Mutex
	conn     net.Conn             // guarded by mu; the latest connection
	pending  map[uint32]time.Time // guarded by mu; due times of requests without a response, by sequence number
	sequence uint32               // guarded by mu; sequence number of the last request
	closed   bool                 // guarded by mu; conn has ended and none was opened since
}

func (r *loadRun) connect(load Load) error {
	for _, address := range load.Addresses {
		for range load.ConnectionsPerAddress {
			connection := &loadConnection{address: address, pending: map[uint32]time.Time{}}
			if err := r.dial(connection); err != nil {
				return err
			}
			r.connections = append(r.connections, connection)
		}
	}
	return nil
}

// dial opens the connection and starts its reader. The caller holds the connection's lock if a reader was started
// before.
func (r *loadRun) dial(connection *loadConnection) error {
	conn, err := net.DialTimeout("tcp", connection.address, loadDialTimeout)
	if err != nil {
		return err
	}
	connection.conn, connection.closed = conn, false
	r.readers.Go(func() { r.read(connection, conn) })
	return nil
}

// read counts the responses on a connection until the connection ends.
func (r *loadRun) read(connection *loadConnection, conn net.Conn) {
	defer closeAll(conn)
	for in := bufio.NewReader(conn); ; {
		sequence, served, err := readResponse(in)
		if err != nil {
			connection.mu.Lock()
			connection.closed = true
			connection.mu.Unlock()
			return
		}
		connection.mu.Lock()
		dueAt, isPending := connection.pending[sequence]
		delete(connection.pending, sequence)
		connection.mu.Unlock()
		r.count(dueAt, isPending, served)
	}
}

// count counts a response. A response that belongs to no pending request counts as failed.
func (r *loadRun) count(dueAt time.Time, isPending, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isPending && served {
		r.result.Served++
	} else {
		r.result.Failed++
	}
	if isPending {
		// RecordValue omits latencies beyond the histogram's range.
		_ = r.result.Latencies.RecordValue(max(1, time.Since(dueAt).Microseconds()))
	}
}

// send sends requests at a fixed rate, each over a random connection.
func (r *loadRun) send(ctx context.Context, rate float64, duration time.Duration) {
	random := rand.New(rand.NewPCG(loadSeedA, loadSeedB))
	start, interval := time.Now(), time.Duration(float64(time.Second)/rate)
	for dueAt := start; dueAt.Sub(start) < duration && ctx.Err() == nil; dueAt = dueAt.Add(interval) {
		time.Sleep(time.Until(dueAt))
		connection := r.connections[random.IntN(len(r.connections))]
		r.result.Sent++
		sequence, conn, ok := r.beginRequest(connection, dueAt)
		if !ok {
			r.countUnsent()
			continue
		}
		// A request that can't be written gets no response and counts as lost.
		_ = conn.SetWriteDeadline(time.Now().Add(loadWriteTimeout))
		_, _ = conn.Write(requestFrame(sequence, random.Uint64(), random.IntN(loadObjects)))
	}
}

// beginRequest registers a request as pending. It first reconnects, as other clients do, if the connection was closed
// while no request was pending: the router closes connections that are idle for 2 s. It returns false if it cannot
// reconnect.
func (r *loadRun) beginRequest(connection *loadConnection, dueAt time.Time) (uint32, net.Conn, bool) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.closed && len(connection.pending) == 0 && r.dial(connection) != nil {
		return 0, nil, false
	}
	connection.sequence++
	connection.pending[connection.sequence] = dueAt
	return connection.sequence, connection.conn, true
}

func (r *loadRun) countUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Failed++
}

// close counts requests without a response as lost and closes all connections.
func (r *loadRun) close() {
	for _, connection := range r.connections {
		connection.mu.Lock()
		r.result.Lost += len(connection.pending)
		conn := connection.conn
		connection.mu.Unlock()
		closeAll(conn)
	}
}
