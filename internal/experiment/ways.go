package experiment

import (
	"context"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"tealpath/internal/downstream/poller"
)

// WayResult is what one way of resting costs.
type WayResult struct {
	Way       string  `json:"way"`
	Count     int     `json:"count"`
	Bytes     float64 `json:"user_bytes_per_conn"` // heap and stacks after a collection
	WakeP50   float64 `json:"wake_p50_us"`         // from a byte written to a connection that can be read
	WakeP99   float64 `json:"wake_p99_us"`
	Goroutine int     `json:"goroutines"`
}

// Ways measures the ways in which a connection can rest: a goroutine that waits without a buffer; the connection in a
// readiness set of our own; its descriptor alone.
func Ways(ctx context.Context, count int) (out []WayResult, err error) {
	for _, w := range []struct {
		name string
		rest func(context.Context, []net.Conn, chan<- int) (func(), error)
	}{{"goroutine", restByGoroutine}, {"connection in a set", restInSet}, {"descriptor alone", restAsDescriptor}} {
		r, err := way(ctx, w.name, count, w.rest)
		if err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}

func way(ctx context.Context, name string, count int, rest func(context.Context, []net.Conn, chan<- int) (func(), error)) (r WayResult, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, err
	}
	defer listener.Close()
	var clients []net.Conn
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for range count {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return r, err
		}
		clients = append(clients, c)
	}
	woken := make(chan int, 1)
	before, goroutines := held()
	conns := make([]net.Conn, count)
	for i := range conns {
		if conns[i], err = listener.Accept(); err != nil {
			return r, err
		}
	}
	// Clients and accepted connections may stand in different orders: they are matched by port.
	byPort := map[int]net.Conn{}
	for _, c := range clients {
		byPort[c.LocalAddr().(*net.TCPAddr).Port] = c
	}
	ordered := make([]net.Conn, count)
	for i, c := range conns {
		ordered[i] = byPort[c.RemoteAddr().(*net.TCPAddr).Port]
	}
	byPort = nil
	end, err := rest(ctx, conns, woken)
	if err != nil {
		return r, err
	}
	defer end()
	after, more := held()
	r = WayResult{Way: name, Count: count, Bytes: float64(after-before) / float64(count), Goroutine: more - goroutines}
	var times []float64
	for i := range min(500, count) {
		began := time.Now()
		if _, err := ordered[i].Write([]byte{1}); err != nil {
			return r, err
		}
		select {
		case <-woken:
		case <-time.After(5 * time.Second):
			return r, context.DeadlineExceeded
		}
		times = append(times, float64(time.Since(began).Nanoseconds())/1000)
	}
	slices.Sort(times)
	r.WakeP50, r.WakeP99 = times[len(times)/2], times[len(times)*99/100]
	return r, nil
}

func held() (bytes uint64, goroutines int) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse, runtime.NumGoroutine()
}

func restByGoroutine(_ context.Context, conns []net.Conn, woken chan<- int) (func(), error) {
	for i, c := range conns {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			return nil, err
		}
		go func() {
			tries := 0
			if raw.Read(func(uintptr) bool { tries++; return tries > 1 }) == nil {
				woken <- i
			}
		}()
	}
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}, nil
}

func restInSet(ctx context.Context, conns []net.Conn, woken chan<- int) (func(), error) {
	lot, err := poller.New()
	if err != nil {
		return nil, err
	}
	for i, c := range conns {
		if err := lot.Watch(c, uint64(i)); err != nil {
			return nil, err
		}
	}
	go wakes(ctx, lot, func(key uint64) { woken <- int(key) })
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}, nil
}

func restAsDescriptor(ctx context.Context, conns []net.Conn, woken chan<- int) (func(), error) {
	lot, err := poller.New()
	if err != nil {
		return nil, err
	}
	fds := make([]int32, len(conns))
	for i, c := range conns {
		fd, err := lot.Suspend(c, uint64(i))
		if err != nil {
			return nil, err
		}
		fds[i], conns[i] = int32(fd), nil
	}
	var resumed []net.Conn
	go wakes(ctx, lot, func(key uint64) {
		if c, err := lot.Resume(int(fds[key])); err == nil {
			fds[key] = -1
			resumed = append(resumed, c)
			woken <- int(key)
		}
	})
	return func() {
		for _, fd := range fds {
			if fd >= 0 {
				lot.CloseDescriptor(int(fd))
			}
		}
		for _, c := range resumed {
			c.Close()
		}
	}, nil
}

func wakes(ctx context.Context, lot *poller.Poller, do func(uint64)) {
	for keys, err := lot.Wait(ctx, nil); err == nil; keys, err = lot.Wait(ctx, keys) {
		for _, k := range keys {
			do(k)
		}
	}
}
