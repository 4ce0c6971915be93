// Package testcluster runs instances of the real router on loopback beside emulated caches, an emulated
// discovery service and relays that delay or cut the connections between instances. Experiments and tests share
// it, with a client that sends requests at a fixed rate and with readings of what a process uses.
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

	// certificateLifetime is longer than any experiment.
	certificateLifetime = 12 * time.Hour
)

// Config says what a cluster consists of.
type Config struct {
	Binary    string // the router's program
	Dir       string // an existing directory for configurations, keys, sockets and logs
	Instances int
	Caches    int
	Slots     int // leases that instances share out among themselves

	LeaseDuration time.Duration
	RenewInterval time.Duration
	ProbePeriod   time.Duration // between two health checks of one cache

	// WithoutOperatorFile starts instances that share nothing and have no Unix socket.
	WithoutOperatorFile bool
	// OperatorFile replaces the operator's file that has instances share leases; %s in it is the socket's path.
	OperatorFile string
	// ClusterOptions are further options of the operator's (fleet …).
	ClusterOptions string
	// WithRelays leads every connection between two instances through a relay of its own.
	WithRelays bool
	// WithoutEndpointList starts instances that know no endpoint list before discovery sends one.
	WithoutEndpointList bool
	// ShareCore has all instances run on one core, RouterCore.
	ShareCore bool

	MaxSockets int // of an instance; 0 is defaultMaxSockets
	MemoryMB   int // of an instance; 0 is defaultMemoryMB
	Voters     int // how many of the first instances are voters; 0 is all
}

// Link is the path on which one instance opens connections to another.
type Link struct{ From, To string }

// Cluster is a set of router processes with the emulators that they talk to.
type Cluster struct {
	Config
	Names     []string // of the instances
	Caches    []*cache.Cache
	Relays    map[Link]*relay.Relay
	Discovery *discoveryserver.Service
	Root      *certificates.Root // issues the instances' certificates

	voters    string               // what stands in the operator's (voters …)
	instances map[string]*instance // by name

	mu      sync.Mutex
	lines   []LogLine // guarded by mu
	readers sync.WaitGroup
}

// instance is one router of a cluster.
type instance struct {
	peerAddress   string   // where it takes connections of other instances
	clientAddress string   // where it takes clients
	process       *Process // guarded by the cluster's mu; nil while it does not run
	incarnation   int      // guarded by the cluster's mu; how often it was started
}

// New starts the emulators and writes the files of all instances. Start starts the instances.
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
	if err := c.nameInstances(); err != nil {
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

// nameInstances gives each instance a name, an address and a certificate, and says which are voters.
func (c *Cluster) nameInstances() error {
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

// SetVoters sets what stands in (voters …) of operator's files that are written from now on.
func (c *Cluster) SetVoters(voters string) { c.voters = voters }

// Path returns the path of a file of an instance, as of its log with the extension ".log".
func (c *Cluster) Path(name, extension string) string { return filepath.Join(c.Dir, name+extension) }

// ClientAddress returns where an instance takes clients.
func (c *Cluster) ClientAddress(name string) string { return c.instances[name].clientAddress }

// ClientAddresses returns where the instances take clients.
func (c *Cluster) ClientAddresses() []string {
	var addresses []string
	for _, name := range c.Names {
		addresses = append(addresses, c.ClientAddress(name))
	}
	return addresses
}

// StartAll starts all instances.
func (c *Cluster) StartAll() error {
	for _, name := range c.Names {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Start starts an instance. Its log is appended to its file and parsed for LogLines.
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
			_, _ = fmt.Fprintf(logFile, "%s\n", raw) // the file is for people; the lines are kept in memory
			if line, ok := parseLogLine(raw); ok {
				line.Instance, line.Incarnation = name, incarnation
				c.appendLine(line)
			}
		})
	})
	return nil
}

// Incarnation returns how often an instance was started.
func (c *Cluster) Incarnation(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name].incarnation
}

// Signal sends a signal to an instance, which counts as not running after SIGKILL and SIGTERM.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	c.mu.Lock()
	process := c.instances[name].process
	c.mu.Unlock()
	if process == nil {
		return fmt.Errorf("%s does not run", name)
	}
	if err := process.Signal(signal); err != nil {
		return err
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		c.mu.Lock()
		c.instances[name].process = nil
		c.mu.Unlock()
	}
	return nil
}

// PID returns an instance's process; 0 is none.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process := c.instances[name].process; process != nil {
		return process.PID()
	}
	return 0
}

// Close kills all instances and ends the emulators.
func (c *Cluster) Close() {
	c.mu.Lock()
	for _, started := range c.instances {
		if started.process != nil {
			started.process.kill()
			started.process = nil
		}
	}
	c.mu.Unlock()
	for _, path := range c.Relays {
		path.Close()
	}
	c.readers.Wait()
	for _, emulated := range c.Caches {
		emulated.Close()
	}
	c.Discovery.Close()
}

// closeAll closes files and connections of which nothing more is wanted: a Close that fails loses nothing.
func closeAll(closers ...io.Closer) {
	for _, closer := range closers {
		_ = closer.Close()
	}
}
