package idleconnections

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"tealpath/internal/experiment/testcluster"
)

const (
	caches           = 4
	routerMaxSockets = 20000
	routerMemoryMB   = 192
	startDelay       = time.Second // lets routers and clients start

	// activeConnections is the number of connections of active traffic to all routers together.
	activeConnections = 16
)

// testbed is a set of routers on one core, each with a client process that holds idle connections to it.
type testbed struct {
	*testcluster.Cluster
	clients []*clientProcess
	failed  int // connections that failed: they could not be opened, or the router did not answer or close them
}

// startTestbed starts as many routers as the experiment needs, with their client processes. An idle timeout of 0
// starts the routers without an operator's file.
func (r *experimentRun) startTestbed(name, binary string, idleTimeout time.Duration) (*testbed, error) {
	config := testcluster.Config{
		Binary:              binary,
		Dir:                 filepath.Join(r.Dir, name),
		Instances:           r.result.Routers,
		Caches:              caches,
		MaxSockets:          routerMaxSockets,
		MemoryMB:            routerMemoryMB,
		ShareCore:           true,
		WithoutOperatorFile: idleTimeout == 0,
		OperatorFile: fmt.Sprintf("(socket \"%%s\")\n(idle (after %s) (spread 5s) (most %d))\n",
			idleTimeout, r.MaxPerRouter),
	}
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	cluster, err := testcluster.New(config)
	if err != nil {
		return nil, err
	}
	b := &testbed{Cluster: cluster}
	for i, router := range cluster.Names {
		if err := b.startRouter(router, r.ClientBinary, fmt.Sprintf("127.1.0.%d", i+1)); err != nil {
			b.close()
			return nil, err
		}
	}
	time.Sleep(startDelay)
	return b, nil
}

// startRouter starts a router and its client process. The client process connects from the local IP address from.
func (b *testbed) startRouter(router, clientBinary, from string) error {
	if err := b.Start(router); err != nil {
		return err
	}
	client, err := startClientProcess(clientBinary, b.ClientAddress(router), from)
	if err != nil {
		return err
	}
	b.clients = append(b.clients, client)
	return nil
}

func (b *testbed) close() {
	for _, client := range b.clients {
		client.close()
	}
	b.Close()
}

// open makes the client processes open additional connections, count in total, divided almost equally among them. It
// returns how long the slowest process took.
func (b *testbed) open(count int) (seconds float64, err error) {
	each, rest := count/len(b.clients), count%len(b.clients)
	return b.sendEach(func(client int) string {
		share := each
		if client < rest {
			share++
		}
		return fmt.Sprintf("%s %d", openCommand, share)
	})
}

// sendAll sends the same command to all client processes at once, and returns how long the slowest took.
func (b *testbed) sendAll(command command) (seconds float64, err error) {
	return b.sendEach(func(int) string { return string(command) })
}

// sendEach sends a command line to each client process, all at once, and returns how long the slowest took.
func (b *testbed) sendEach(line func(client int) string) (slowestSeconds float64, err error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, client := range b.clients {
		group.Go(func() {
			answer, clientErr := client.send(line(i))
			mu.Lock()
			defer mu.Unlock()
			b.failed += answer.failed
			slowestSeconds = max(slowestSeconds, float64(answer.tookMS)/1000)
			if clientErr != nil {
				err = clientErr
			}
		})
	}
	group.Wait()
	return slowestSeconds, err
}

// usage holds what all routers use together.
type usage struct {
	suspended   int // number of suspended connections
	goroutines  int
	memoryBytes uint64 // heap and stacks after a garbage collection
	residentKB  int64
	cpuSeconds  float64 // processor time used since the routers started
}

// usage returns what all routers use together. For a router that has no admin socket, or does not answer on it, only
// the resident memory and the processor time are included, which the operating system reports.
func (b *testbed) usage(ctx context.Context) usage {
	var sum usage
	for _, name := range b.Names {
		sum.residentKB += testcluster.ResidentKB(b.PID(name))
		sum.cpuSeconds += testcluster.CPUSeconds(b.PID(name))
		if b.WithoutOperatorFile {
			continue
		}
		status, err := b.Connections(ctx, name)
		if err != nil {
			continue
		}
		sum.suspended += status.Suspended
		sum.goroutines += status.Goroutines
		sum.memoryBytes += status.HeapBytes + status.StackBytes
	}
	return sum
}

// openConnections returns the number of client connections of all routers.
func (b *testbed) openConnections(ctx context.Context) (int, error) {
	count := 0
	for _, name := range b.Names {
		status, err := b.Connections(ctx, name)
		if err != nil {
			return 0, err
		}
		count += status.All
	}
	return count, nil
}

// load sends active traffic for the duration, at a rate in requests per second to all routers together.
func (b *testbed) load(ctx context.Context, rate float64, duration time.Duration) (testcluster.LoadResult, error) {
	addresses := b.ClientAddresses()
	return testcluster.Load{
		Rate:                  rate,
		Addresses:             addresses,
		ConnectionsPerAddress: max(1, activeConnections/len(addresses)),
	}.Run(ctx, duration)
}

// clientProcess is a process that runs RunClients.
type clientProcess struct {
	process *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
}

func startClientProcess(binary, address, from string) (*clientProcess, error) {
	process := exec.Command(binary, "hold", "--to", address, "--from", from)
	process.Stderr = os.Stderr
	input, err := process.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	return &clientProcess{process: process, input: input, output: bufio.NewScanner(output)}, nil
}

// send sends a command line to the process and waits for the answer.
func (c *clientProcess) send(line string) (answer, error) {
	if _, err := fmt.Fprintln(c.input, line); err != nil {
		return answer{}, err
	}
	if !c.output.Scan() {
		return answer{}, fmt.Errorf("client process ended without an answer to the command %q", line)
	}
	return parseAnswer(c.output.Text())
}

// close ends the process, which exits at the end of its input.
func (c *clientProcess) close() {
	_ = c.input.Close()
	_ = c.process.Wait()
}
