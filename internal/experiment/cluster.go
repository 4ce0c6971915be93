// Package experiment runs experiments on real routers on loopback, with the stand-ins of standin/, and on the pure modules in
// simulated time. It measures what the operators' bench does not show.
package experiment

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealpath/internal/adminsocket"
	"tealpath/internal/cluster"
	"tealpath/internal/emulator/cache"
	"tealpath/internal/emulator/certificates"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/emulator/relay"
)

// Line is one line of an instance's log.
type Line struct {
	At       time.Time
	Instance string
	Life     int    // which start of it
	Event    string // its name
	Text     string // the whole line
	Phase    string
	Slots    []int
	Ballot   uint64
	Member   string // that it is about
}

// Setup is what a cluster is made of.
type Setup struct {
	Binary    string
	Folder    string // for files and logs; it must be there
	Instances int
	Caches    int
	Slots     int
	Lease     time.Duration
	Renewal   time.Duration
	Period    time.Duration
	Bare      bool   // without an operator's file
	Relays    bool   // every way between two instances goes through a relay
	File      string // operator's file instead of one that shares duties; %s is the socket
	Sockets   int
	MemoryMB  int
	Voters    int    // so many of the first; 0 is all
	Extra     string // in (fleet …)
	Unknown   bool   // configurations know no list
	Core      int    // to which instances are pinned; -1 is none
}

// Cluster is instances of the real program on loopback.
type Cluster struct {
	Setup
	Names   []string
	Caches  []*cache.Cache
	Ways    map[[2]string]*relay.Relay // by from and to
	journal *discoveryserver.Service
	mu      sync.Mutex
	running map[string]*exec.Cmd
	lives   map[string]int
	lines   []Line
	group   sync.WaitGroup
	at      map[string]string // where each takes links
	voters  string            // what stands in (voters …)
	root    *certificates.Root
	clients map[string]string // where each takes clients
}

// given is every address that free gave in this process: two plays side by side were given one, as nobody listened on it
// at the moment.
var given sync.Map

// free gives an address of a loopback host that nobody listens on now, each once. Where all of 127.0.0.0/8 is the machine's
// own, the host is one that is used for nothing else: on 127.0.0.1 another's outgoing connection took the port in between.
func free() (string, error) {
	host := fmt.Sprintf("127.%d.%d.2", 2+os.Getpid()%250, os.Getpid()/250%250)
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			l, err = net.Listen("tcp", "127.0.0.1:0")
		}
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if _, again := given.LoadOrStore(address, true); !again {
			return address, nil
		}
	}
}

// NewCluster makes a cluster's files and stand-ins; Start starts its instances.
func NewCluster(s Setup) (*Cluster, error) {
	s.Sockets, s.MemoryMB = cmp.Or(s.Sockets, 1024), cmp.Or(s.MemoryMB, 32)
	c := &Cluster{Setup: s, clients: map[string]string{}, Ways: map[[2]string]*relay.Relay{}, running: map[string]*exec.Cmd{}, lives: map[string]int{}}
	var err error
	if c.journal, err = discoveryserver.Start(); err != nil {
		return nil, err
	}
	var members []string
	for i := range s.Caches {
		x, err := cache.Start(fmt.Sprintf("s-%03d", i), "")
		if err != nil {
			return nil, err
		}
		c.Caches = append(c.Caches, x)
		members = append(members, listed(x, 0))
	}
	c.journal.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` + strings.Join(members, ",") + `]}}`)
	root, err := certificates.NewRoot("lab")
	if err != nil {
		return nil, err
	}
	c.root = root
	at := map[string]string{}
	c.at = at
	for i := range s.Instances {
		name := fmt.Sprintf("n%0*d", max(2, len(fmt.Sprint(s.Instances-1))), i)
		c.Names = append(c.Names, name)
		if at[name], err = free(); err != nil {
			return nil, err
		}
		if err := root.Write(s.Folder, name, time.Now().Add(12*time.Hour), root); err != nil {
			return nil, err
		}
	}
	c.voters = fmt.Sprintf("(epoch 1) (now %s)", strings.Join(c.Names[:cmp.Or(s.Voters, len(c.Names))], " "))
	for _, name := range c.Names {
		if err := c.configure(name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// listed is a cache's line in a list.
func listed(x *cache.Cache, startedMs int64) string {
	return fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"here","machineType":"cache",`+
		`"lifecycle":"active","weight":4,"startedAtMs":%d}`, x.Name, x.Address(), startedMs)
}

// line is an event that names one cache.
func (c *Cluster) line(i int) string {
	return `{"pos":%d,"hosts":{"generation":3,"instances":[` + listed(c.Caches[i], 0) + `]}}`
}

// configure writes an instance's files.
func (c *Cluster) configure(name string) error {
	client, err := free()
	if err != nil {
		return err
	}
	known := c.journal.KnownEvents()
	if c.Unknown {
		known = "null"
	}
	config := fmt.Sprintf(`{"name":"%s","listen":"%s","seed":"07","limits":{"cores":%.3f,"memory_mb":%d,"sockets":%d},
 "journal":"%s","known":%s,"settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"mayProbe":true,"secondCopies":true,
 "retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "report":{"fields":["inflight","x1","x0"]},
 "obligations":{"graceToAnswerS":0.008,"coldFrom":0.16,"warmUpS":17,"overloadFactor":2.5,"fallS":1.5},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`,
		name, client, c.cores(), c.MemoryMB, c.Sockets, c.journal.Address(), known, c.Instances, c.Instances)
	if err := os.WriteFile(c.path(name, ".json"), []byte(config), 0o600); err != nil {
		return err
	}
	c.clients[name] = client
	return c.operate(name)
}

// cores is an instance's part of the cores: those that are pinned share one.
func (c *Cluster) cores() float64 {
	if c.Core >= 0 {
		return 1 / float64(c.Instances)
	}
	return 1
}

// operate writes an instance's operator's file. It has the others at the relays that lead from it to them.
func (c *Cluster) operate(name string) error {
	if c.File != "" {
		return os.WriteFile(c.path(name, ".sx"), fmt.Appendf(nil, c.File, name+".sock"), 0o600)
	}
	var lines strings.Builder
	for _, other := range c.Names {
		address := c.at[other]
		if c.Relays && other != name {
			pair := [2]string{name, other}
			if c.Ways[pair] == nil {
				way, err := relay.Start(address)
				if err != nil {
					return err
				}
				c.Ways[pair] = way
			}
			address = c.Ways[pair].Address()
		}
		fmt.Fprintf(&lines, "    (instance %s (at \"%s\"))\n", other, address)
	}
	file := fmt.Sprintf("(socket \"%s.sock\")\n(fleet\n  (instances\n%s  )\n  (voters %s)\n  (slots %d) (lease %s) "+
		"(renewal %s) (drift 1%%)\n  (tls (certificate \"%s.pem\") (key \"%s.key\") (roots \"roots.pem\"))\n"+
		"  (allow \"127.0.0.0/8\")\n  "+c.Extra+"\n  (probe (period %s) (within %s) (cold-part 5%%) (cost 1ms)))\n", name, lines.String(),
		c.voters, c.Slots, c.Lease, c.Renewal, name, name, c.Period, c.Period/2)
	return os.WriteFile(c.path(name, ".sx"), []byte(file), 0o600)
}

func (c *Cluster) path(name, end string) string { return filepath.Join(c.Folder, name+end) }

// Start starts an instance.
func (c *Cluster) Start(name string) error {
	args := []string{"serve"}
	if !c.Bare {
		args = append(args, "--operator", c.path(name, ".sx"))
	}
	cmd := exec.Command(c.Binary, args...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+c.path(name, ".json"))
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(c.path(name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := startOn(cmd, c.Core); err != nil {
		return err
	}
	c.mu.Lock()
	c.running[name] = cmd
	c.lives[name]++
	life := c.lives[name]
	c.mu.Unlock()
	c.group.Go(func() {
		defer log.Close()
		for in := bufio.NewScanner(out); in.Scan(); {
			fmt.Fprintln(log, in.Text())
			line := Line{At: time.Now(), Instance: name, Life: life, Text: in.Text()}
			var raw struct {
				Event, Phase, Member string
				Slots                []int
				Ballot               uint64
			}
			if json.Unmarshal(in.Bytes(), &raw) == nil {
				line.Event, line.Phase, line.Member = raw.Event, raw.Phase, raw.Member
				line.Slots, line.Ballot = raw.Slots, raw.Ballot
				c.mu.Lock()
				c.lines = append(c.lines, line)
				c.mu.Unlock()
			}
		}
		cmd.Wait()
	})
	return nil
}

// Signal sends a signal to an instance; after SIGKILL and SIGTERM it is waited for.
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	c.mu.Lock()
	cmd := c.running[name]
	c.mu.Unlock()
	if cmd == nil {
		return fmt.Errorf("%s does not run", name)
	}
	if err := cmd.Process.Signal(s); err != nil {
		return err
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		c.mu.Lock()
		delete(c.running, name)
		c.mu.Unlock()
	}
	return nil
}

// PID is an instance's process.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cmd := c.running[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// Lines is all that was logged so far.
func (c *Cluster) Lines() []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Line(nil), c.lines...)
}

// Status asks an instance.
func (c *Cluster) Status(ctx context.Context, name string) (s cluster.Status, err error) {
	err = adminsocket.Query(ctx, c.path(name, ".sock"), &s, "duties")
	return s, err
}

// Settled waits until every running instance sees every slot held, none by one that is not running.
func (c *Cluster) Settled(ctx context.Context, within time.Duration) error {
	var last error
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		owned := map[int]int{}
		last = nil
		for _, name := range c.Names {
			if c.PID(name) == 0 {
				continue
			}
			s, err := c.Status(ctx, name)
			if err != nil {
				last = err
				break
			}
			for _, slot := range s.Slots {
				if slot.Own {
					owned[slot.SlotStatus.Slot]++
				}
			}
		}
		if last == nil && len(owned) == c.Slots {
			return nil
		}
		if last == nil {
			last = fmt.Errorf("%d of %d slots are owned", len(owned), c.Slots)
		}
	}
	return fmt.Errorf("not settled within %s: %w", within, last)
}

// Close ends all instances and stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	for _, cmd := range c.running {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
	}
	clear(c.running)
	c.mu.Unlock()
	for _, way := range c.Ways {
		way.Close()
	}
	c.group.Wait()
	for _, x := range c.Caches {
		x.Close()
	}
	c.journal.Close()
}
