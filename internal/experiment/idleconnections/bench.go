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
	startDelay       = time.Second

	// activeConnections are those of active traffic, over all routers.
	activeConnections = 16
)

// bench is a set of routers on one core, each with a client process that holds idle connections to it.
type bench struct {
	*testcluster.Cluster
	clients []*clientProcess
	failed  int // connections that could not be opened or were not answered
}

// startBench starts as many routers as the experiment needs. An idle timeout of 0 starts them without an
// operator's file.
func (p *play) startBench(name, binary string, idleTimeout time.Duration) (*bench, error) {
	config := testcluster.Config{
		Binary:              binary,
		Dir:                 filepath.Join(p.Dir, name),
		Instances:           p.result.Routers,
		Caches:              caches,
		MaxSockets:          routerMaxSockets,
		MemoryMB:            routerMemoryMB,
		ShareCore:           true,
		WithoutOperatorFile: idleTimeout == 0,
		OperatorFile: fmt.Sprintf("(socket \"%%s\")\n(idle (after %s) (spread 5s) (most %d))\n",
			idleTimeout, p.MaxPerRouter),
	}
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	cluster, err := testcluster.New(config)
	if err != nil {
		return nil, err
	}
	b := &bench{Cluster: cluster}
	for i, router := range cluster.Names {
		if err := b.startRouter(router, p.ClientBinary, fmt.Sprintf("127.1.0.%d", i+1)); err != nil {
			b.close()
			return nil, err
		}
	}
	time.Sleep(startDelay)
	return b, nil
}

// startRouter starts a router and its client process, which connects from an address of its own.
func (b *bench) startRouter(router, clientBinary, from string) error {
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

func (b *bench) close() {
	for _, client := range b.clients {
		client.close()
	}
	b.Close()
}

// open has the client processes open so many connections more, shared out evenly.
func (b *bench) open(count int) (seconds float64, err error) {
	each, rest := count/len(b.clients), count%len(b.clients)
	return b.tell(func(client int) string {
		share := each
		if client < rest {
			share++
		}
		return fmt.Sprintf("%s %d", open, share)
	})
}

// tellAll gives all client processes the same command at once.
func (b *bench) tellAll(command command) (seconds float64, err error) {
	return b.tell(func(int) string { return string(command) })
}

// tell gives each client process a command at once, and returns how long the slowest took.
func (b *bench) tell(line func(client int) string) (slowestSeconds float64, err error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, client := range b.clients {
		group.Go(func() {
			answer, clientErr := client.tell(line(i))
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

// usage is what the routers hold and have used, summed up.
type usage struct {
	suspended   int
	goroutines  int
	memoryBytes uint64 // heap and stacks after a collection
	residentKB  int64
	cpuSeconds  float64
}

// usage asks the routers. One that has no Unix socket, or does not answer, adds only what the system says of
// it.
func (b *bench) usage(ctx context.Context) usage {
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

// openConnections counts the clients' connections of all routers.
func (b *bench) openConnections(ctx context.Context) (int, error) {
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

// load sends active traffic to all routers.
func (b *bench) load(ctx context.Context, rate float64, duration time.Duration) (testcluster.LoadResult, error) {
	addresses := b.ClientAddresses()
	return testcluster.Load{
		Rate:           rate,
		Addresses:      addresses,
		ConnectionsPer: max(1, activeConnections/len(addresses)),
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

// tell gives the process a command and waits for its answer.
func (c *clientProcess) tell(line string) (answer, error) {
	if _, err := fmt.Fprintln(c.input, line); err != nil {
		return answer{}, err
	}
	if !c.output.Scan() {
		return answer{}, fmt.Errorf("a client process ended at %q", line)
	}
	return parseAnswer(c.output.Text())
}

// close ends the process: it exits at the end of its input.
func (c *clientProcess) close() {
	_ = c.input.Close()
	_ = c.process.Wait()
}
