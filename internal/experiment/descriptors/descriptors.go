// Package descriptors compares ways to hold idle connections: how much memory each way takes, and how fast the
// program notices that something was received.
package descriptors

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"time"
)

const (
	maxWakeups    = 500 // number of wake-ups that are timed
	wakeupTimeout = 5 * time.Second
)

// Result holds the memory and the wake-up times of one way to hold idle connections.
type Result struct {
	Method             string  `json:"way"`
	Connections        int     `json:"count"`
	BytesPerConnection float64 `json:"user_bytes_per_conn"` // heap and stacks after a garbage collection
	WakeupP50Micros    float64 `json:"wake_p50_us"`         // time from the write of a byte until it is noticed
	WakeupP99Micros    float64 `json:"wake_p99_us"`
	Goroutines         int     `json:"goroutines"`
}

// method is a way to hold idle connections.
type method struct {
	name string
	// suspend takes over conns, whose elements it may set to nil. When something is received on a connection, it
	// sends the connection's index in conns to received. closeAll closes the connections.
	suspend func(ctx context.Context, conns []net.Conn, received chan<- int) (closeAll func(), err error)
}

var methods = []method{
	{"goroutine", waitInGoroutines},
	{"connection in a set", watchByPoller},
	{"descriptor alone", suspendToDescriptors},
}

// Compare measures each method with the same number of connections.
func Compare(ctx context.Context, connections int) ([]Result, error) {
	var results []Result
	for _, method := range methods {
		result, err := method.measure(ctx, connections)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (m method) measure(ctx context.Context, connections int) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	defer closeQuietly(listener)
	clients, err := dialAll(listener.Addr().String(), connections)
	defer closeQuietly(clients...)
	if err != nil {
		return Result{}, err
	}
	received := make(chan int, 1)
	bytesBefore, goroutinesBefore := memoryInUse()
	conns, err := acceptAll(listener, connections)
	if err != nil {
		return Result{}, err
	}
	peers := matchPeers(clients, conns)
	closeAll, err := m.suspend(ctx, conns, received)
	if err != nil {
		return Result{}, err
	}
	defer closeAll()
	bytes, goroutines := memoryInUse()
	wakeups, err := timeWakeups(peers, received)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Method:             m.name,
		Connections:        connections,
		BytesPerConnection: float64(bytes-bytesBefore) / float64(connections),
		WakeupP50Micros:    wakeups[len(wakeups)/2],
		WakeupP99Micros:    wakeups[len(wakeups)*99/100],
		Goroutines:         goroutines - goroutinesBefore,
	}, nil
}

// dialAll opens connections, which wait in the listener's backlog. If a dial fails, dialAll returns the connections
// opened before and the error.
func dialAll(address string, count int) ([]net.Conn, error) {
	var clients []net.Conn
	for range count {
		client, err := net.Dial("tcp", address)
		if err != nil {
			return clients, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

func acceptAll(listener net.Listener, count int) ([]net.Conn, error) {
	conns := make([]net.Conn, count)
	for i := range conns {
		var err error
		if conns[i], err = listener.Accept(); err != nil {
			return nil, err
		}
	}
	return conns, nil
}

// matchPeers returns the client of each accepted connection. It matches addresses, since connections may be accepted
// in another order than they were opened.
func matchPeers(clients, conns []net.Conn) []net.Conn {
	byAddress := map[string]net.Conn{}
	for _, client := range clients {
		byAddress[client.LocalAddr().String()] = client
	}
	peers := make([]net.Conn, len(conns))
	for i, conn := range conns {
		peers[i] = byAddress[conn.RemoteAddr().String()]
	}
	return peers
}

// timeWakeups writes a byte to one connection after another. It returns the times until the program noticed each
// byte, in µs, sorted.
func timeWakeups(peers []net.Conn, received <-chan int) ([]float64, error) {
	var micros []float64
	for _, peer := range peers[:min(maxWakeups, len(peers))] {
		startedAt := time.Now()
		if _, err := peer.Write([]byte{1}); err != nil {
			return nil, err
		}
		select {
		case <-received:
		case <-time.After(wakeupTimeout):
			return nil, fmt.Errorf("written byte not noticed within %s: %w", wakeupTimeout, context.DeadlineExceeded)
		}
		micros = append(micros, float64(time.Since(startedAt).Nanoseconds())/1000)
	}
	slices.Sort(micros)
	return micros, nil
}

// memoryInUse returns the size of heap and stacks after a garbage collection, and the number of goroutines.
func memoryInUse() (bytes uint64, goroutines int) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse, runtime.NumGoroutine()
}
