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

	// lastResponseWait is for how long responses are waited for after the last request.
	lastResponseWait = 1500 * time.Millisecond

	// loadObjects is how many objects are asked for.
	loadObjects = 200

	maxLatencyMicros     = 10_000_000
	latencyPrecision     = 3 // significant digits
	loadSeedA, loadSeedB = 1, 2
)

// Load is active traffic at a fixed rate. Each request is sent when it is due, whether or not earlier ones were
// answered, and its latency counts from then, so that a router that holds up the client does not look fast
// (coordinated omission).
type Load struct {
	Rate           float64 // requests a second, over all addresses together
	Addresses      []string
	ConnectionsPer int // address
}

// LoadResult is what came of a load.
type LoadResult struct {
	Sent      int
	Served    int
	Failed    int                     // answered otherwise, or not sent
	Lost      int                     // never answered
	Latencies *hdrhistogram.Histogram // of what was answered, µs
}

// LatencyMS returns a percentile of the latency in milliseconds.
func (r LoadResult) LatencyMS(percentile float64) float64 {
	return float64(r.Latencies.ValueAtQuantile(percentile)) / 1000
}

// Run sends the load until the context ends or the duration is over, and then waits for the last responses.
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

// loadRun is one run of a load.
type loadRun struct {
	connections []*loadConnection
	readers     sync.WaitGroup

	mu     sync.Mutex // taken alone or while no connection's lock is held
	result LoadResult // Served, Failed and Latencies are guarded by mu while readers run
}

// loadConnection is a client's place; its connection is opened again when the router has closed it.
type loadConnection struct {
	address string

	mu       sync.Mutex
	conn     net.Conn             // guarded by mu
	pending  map[uint32]time.Time // guarded by mu; requests without a response, by number: when each was due
	sequence uint32               // guarded by mu; number of the last request
	closed   bool                 // guarded by mu; by the router
}

func (r *loadRun) connect(load Load) error {
	for _, address := range load.Addresses {
		for range load.ConnectionsPer {
			connection := &loadConnection{address: address, pending: map[uint32]time.Time{}}
			if err := r.dial(connection); err != nil {
				return err
			}
			r.connections = append(r.connections, connection)
		}
	}
	return nil
}

// dial opens the connection and starts its reader. The caller holds the connection's lock once others know of
// it.
func (r *loadRun) dial(connection *loadConnection) error {
	conn, err := net.DialTimeout("tcp", connection.address, loadDialTimeout)
	if err != nil {
		return err
	}
	connection.conn, connection.closed = conn, false
	r.readers.Go(func() { r.read(connection, conn) })
	return nil
}

// read takes responses until the connection ends.
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

// count counts a response. One to no request counts as failed.
func (r *loadRun) count(dueAt time.Time, isPending, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isPending && served {
		r.result.Served++
	} else {
		r.result.Failed++
	}
	if isPending {
		// A latency beyond the histogram's range is left out.
		_ = r.result.Latencies.RecordValue(max(1, time.Since(dueAt).Microseconds()))
	}
}

// send sends requests at a fixed rate over connections drawn at random.
func (r *loadRun) send(ctx context.Context, rate float64, duration time.Duration) {
	random := rand.New(rand.NewPCG(loadSeedA, loadSeedB))
	start, interval := time.Now(), time.Duration(float64(time.Second)/rate)
	for dueAt := start; dueAt.Sub(start) < duration && ctx.Err() == nil; dueAt = dueAt.Add(interval) {
		time.Sleep(time.Until(dueAt))
		connection := r.connections[random.IntN(len(r.connections))]
		r.result.Sent++
		sequence, conn, ok := r.begin(connection, dueAt)
		if !ok {
			r.countUnsent()
			continue
		}
		// A request that can't be written is never answered and counts as lost.
		_ = conn.SetWriteDeadline(time.Now().Add(loadWriteTimeout))
		_, _ = conn.Write(requestFrame(sequence, random.Uint64(), random.IntN(loadObjects)))
	}
}

// begin notes a request as pending. As usual clients do, it opens the connection again if the router closed it
// while nothing was pending, as it does when nothing was asked for 2 s. It returns false where that fails.
func (r *loadRun) begin(connection *loadConnection, dueAt time.Time) (uint32, net.Conn, bool) {
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

// close counts what was not answered and closes all connections.
func (r *loadRun) close() {
	for _, connection := range r.connections {
		connection.mu.Lock()
		r.result.Lost += len(connection.pending)
		conn := connection.conn
		connection.mu.Unlock()
		closeAll(conn)
	}
}
