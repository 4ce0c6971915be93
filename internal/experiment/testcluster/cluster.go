// Package testcluster runs instances of the real router on loopback, together with emulated caches, an emulated
// discovery service and relays that delay or cut the connections between instances. It also contains a client that
// sends requests at a fixed rate, and functions that read the processor time and memory that a process uses.
package testcluster

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealpath/internal/emulator/cache"
	"tealpath/internal/emulator/certificates"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/emulator/relay"
)

const (
	defaultMaxSockets = 1024
	defaultMemoryMB   = 32

	// certificateLifetime is how long the instances' certificates are valid. No experiment runs as long.
	certificateLifetime = 12 * time.Hour
)

// Config describes a cluster.
type Config struct {
	Binary    string // path of the router's program
	Dir       string // existing directory for configurations, keys, sockets and logs
	Instances int
	Caches    int
	Slots     int // number of slots, whose leases the instances share

	LeaseDuration time.Duration
	RenewInterval time.Duration
	ProbePeriod   time.Duration // time between two health checks of one cache

	// WithoutOperatorFile starts instances that share no leases and have no admin socket.
	WithoutOperatorFile bool
	// OperatorFile, unless empty, replaces the default content of the operator's file, with which instances share
	// leases. It must contain %s, which is replaced by the name of the admin socket.
	OperatorFile string
	// ClusterOptions are additional options in the (fleet …) list of the operator's file.
	ClusterOptions string
	// WithRelays sends the connections of each Link through a separate relay.
	WithRelays bool
	// WithoutEndpointList starts instances that have no endpoint list until the discovery service sends one.
	WithoutEndpointList bool
	// ShareCore runs all instances on one processor core, RouterCore.
	ShareCore bool

	MaxSockets int // sockets that an instance may open; 0 is defaultMaxSockets
	MemoryMB   int // memory limit of an instance; 0 is defaultMemoryMB
	Voters     int // number of voters, which are the first instances; 0 makes all instances voters
}

// Link is the path on which one instance opens connections to another.
type Link struct{ From, To string }

// Cluster is a set of router processes and the emulated services that they connect to.
type Cluster struct {
	Config
	Names     []string // names of the instances
	Caches    []*cache.Cache
	Relays    map[Link]*relay.Relay
	Discovery *discoveryserver.Service
	Root      *certificates.Root // issues the instances' certificates

	voters    string               // content of the (voters …) list in operator's files
	instances map[string]*instance // instances, by name

	mu      sync.Mutex
	lines   []LogLine      // guarded by mu; events that the instances have logged so far
	readers sync.WaitGroup // goroutines that read the instances' logs
}

// instance is one router of a cluster.
type instance struct {
	peerAddress   string   // address on which it listens for other instances
	clientAddress string   // address on which it listens for clients
	process       *Process // guarded by the cluster's mu; nil after SIGKILL or SIGTERM and before the first start
	incarnation   int      // guarded by the cluster's mu; number of starts so far
}

// New starts the emulators and writes the files of all instances. It does not start the instances.
func New(config Config) (*Cluster, error) {
	config.MaxSockets = cmp.Or(config.MaxSockets, defaultMaxSockets)
	config.MemoryMB = cmp.Or(config.MemoryMB, defaultMemoryMB)
	c := &Cluster{
		Config:    config,
		Relays:    map[Link]*relay.Relay{},
		instances: map[string]*instance{},
	}
	if err := c.startEmulators(); err != nil {
		return nil, err
	}
	if err := c.addInstances(); err != nil {
		return nil, err
	}
	for _, name := range c.Names {
		if err := c.writeFiles(name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startEmulators starts the discovery service and the caches, and publishes the endpoint list.
func (c *Cluster) startEmulators() error {
	service, err := discoveryserver.Start()
	if err != nil {
		return err
	}
	c.Discovery = service
	var endpoints []string
	for i := range c.Config.Caches {
		emulated, err := cache.Start(CacheName(i), "")
		if err != nil {
			return err
		}
		c.Caches = append(c.Caches, emulated)
		endpoints = append(endpoints, EndpointJSON(emulated, time.Time{}))
	}
	service.Publish(EndpointListEvent(1, endpoints))
	return nil
}

// addInstances gives each instance a name, an address and a certificate, and sets the voters.
func (c *Cluster) addInstances() error {
	root, err := certificates.NewRoot("lab")
	if err != nil {
		return err
	}
	c.Root = root
	digits := max(2, len(fmt.Sprint(c.Instances-1)))
	for i := range c.Instances {
		name := fmt.Sprintf("n%0*d", digits, i)
		c.Names = append(c.Names, name)
		added := &instance{}
		if added.peerAddress, err = FreeAddress(); err != nil {
			return err
		}
		c.instances[name] = added
		if err := root.Write(c.Dir, name, time.Now().Add(certificateLifetime), root); err != nil {
			return err
		}
	}
	voters := c.Names[:cmp.Or(c.Voters, len(c.Names))]
	c.SetVoters(fmt.Sprintf("(epoch 1) (now %s)", strings.Join(voters, " ")))
	return nil
}

// SetVoters sets the content of the (voters …) list in operator's files that are written from now on.
func (c *Cluster) SetVoters(voters string) { c.voters = voters }

// Path returns the path of an instance's file with an extension, such as ".log" for its log.
func (c *Cluster) Path(name, extension string) string { return filepath.Join(c.Dir, name+extension) }

// ClientAddress returns the address on which an instance listens for clients.
func (c *Cluster) ClientAddress(name string) string { return c.instances[name].clientAddress }

// ClientAddresses returns the addresses on which the instances listen for clients.
func (c *Cluster) ClientAddresses() []string {
	var addresses []string
	for _, name := range c.Names {
		addresses = append(addresses, c.ClientAddress(name))
	}
	return addresses
}

// StartAll starts the instances in the order of Names. It stops at the first one that fails to start.
func (c *Cluster) StartAll() error {
	for _, name := range c.Names {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Start starts an instance. The instance's log is appended to its log file and parsed for LogLines.
func (c *Cluster) Start(name string) error {
	command := Command{Binary: c.Binary, Config: c.Path(name, ".json"), ShareCore: c.ShareCore}
	if !c.WithoutOperatorFile {
		command.OperatorFile = c.Path(name, ".sx")
	}
	logFile, err := os.OpenFile(c.Path(name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process, output, err := command.start()
	if err != nil {
		return errors.Join(err, logFile.Close())
	}
	c.mu.Lock()
	started := c.instances[name]
	started.process = process
	started.incarnation++
	incarnation := started.incarnation
	c.mu.Unlock()
	c.readers.Go(func() {
		defer closeAll(logFile)
		process.readLog(output, func(raw []byte) {
			_, _ = fmt.Fprintf(logFile, "%s\n", raw) // a write error does no harm: the file is for people only
			if line, ok := parseLogLine(raw); ok {
				line.Instance, line.Incarnation = name, incarnation
				c.appendLogLine(line)
			}
		})
	})
	return nil
}

// Incarnation returns how often an instance has been started.
func (c *Cluster) Incarnation(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name].incarnation
}

// Signal sends a signal to an instance. After SIGKILL and SIGTERM the instance counts as not running.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	c.mu.Lock()
	process := c.instances[name].process
	c.mu.Unlock()
	if process == nil {
		return fmt.Errorf("send signal %q to instance %s: it is not running", signal, name)
	}
	if err := process.Signal(signal); err != nil {
		return fmt.Errorf("send signal %q to instance %s: %w", signal, name, err)
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		c.mu.Lock()
		c.instances[name].process = nil
		c.mu.Unlock()
	}
	return nil
}

// PID returns the process ID of an instance, or 0 if it is not running.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process := c.instances[name].process; process != nil {
		return process.PID()
	}
	return 0
}

// Close kills all instances and stops the relays and emulators.
func (c *Cluster) Close() {
	c.mu.Lock()
	for _, started := range c.instances {
		if started.process != nil {
			started.process.kill()
			started.process = nil
		}
	}
	c.mu.Unlock()
	for _, started := range c.Relays {
		started.Close()
	}
	c.readers.Wait()
	for _, emulated := range c.Caches {
		emulated.Close()
	}
	c.Discovery.Close()
}

// closeAll closes files and connections that are no longer needed. It ignores errors, as no data can be lost.
func closeAll(closers ...io.Closer) {
	for _, closer := range closers {
		_ = closer.Close()
	}
}
