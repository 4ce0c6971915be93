package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/protocol/resp"
	"testing"
	"time"
)

// What a router may need in the mean over the same day beside what it needs at the usual size, as the users' page on the
// full fleet states it: a factor, a part that is added, and one that is added for each thousand cache servers.
var growthBounds = []struct {
	what                     string
	factor, plus, perServers float64
	of                       func(growthFigures) float64
}{
	{"CPU seconds", 1.4, 0.02, 0.03, func(f growthFigures) float64 { return f.cpuSeconds }},
	{"peak memory, MB", 1.5, 8, 4, func(f growthFigures) float64 { return f.peakMB }},
	{"descriptors", 2, 40, 0, func(f growthFigures) float64 { return f.descriptors }},
	{"connections to cache servers", 2.5, 40, 0, func(f growthFigures) float64 { return f.connections }},
	{"bytes of lists, KB", 2, 64, 500, func(f growthFigures) float64 { return f.listKB }},
}

// leastServed is the part of the share served at the usual size that has to be served.
const leastServed = 0.85

// growthDay is the traffic of one router, the same in a fleet of any size.
type growthDay struct {
	name     string
	known    bool // the configuration knows the list
	requests int
	gap      time.Duration // between two requests
	objects  int
	skew     float64 // of their popularity, Zipf's exponent; 0: all are asked for alike
}

var growthDays = []growthDay{
	{"list in the configuration", true, 300, 25 * time.Millisecond, 150, 1.1},
	{"list from the service", false, 300, 25 * time.Millisecond, 150, 1.1},
	{"more objects than links", true, 1200, 8 * time.Millisecond, 30_000, 0},
}

const (
	growthEvents = 15 // changes of the list in a day, each of one in a hundred servers
	memoryMB     = 32 // a router's limit
)

// growthFigures is what one router needed for the day.
type growthFigures struct {
	cpuSeconds, peakMB, descriptors, connections, listKB, served float64
}

// growthFleet is one real router among stand-ins of cache servers and of the list service, at one size.
type growthFleet struct {
	t           *testing.T
	servers     []net.Listener
	routers     int
	journal     *discoveryserver.Service
	address     string
	router      *exec.Cmd
	connections atomic.Int64
	listening   atomic.Bool // the router has accepted a connection
	descriptors atomic.Int64
}

// growthHost is a free port of a loopback host that nothing else uses: on 127.0.0.1 another's connection may take a port that
// is free for a moment, and another's router may look for a server of its own that was there before.
func growthHost(network int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", network, os.Getpid()>>8&255, max(1, os.Getpid()&255))
}

func newGrowthFleet(t *testing.T, servers, routers int) *growthFleet {
	t.Helper()
	f := &growthFleet{t: t, routers: routers}
	for range servers {
		listener, err := net.Listen("tcp", growthHost(100))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { discard(listener) })
		f.servers = append(f.servers, listener)
		go f.accept(listener)
	}
	journal, err := discoveryserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	f.journal = journal
	t.Cleanup(journal.Close)
	return f
}

// lines is servers' entries of a list, as they are of a generation.
func (f *growthFleet) lines(from, to, generation int, state string) string {
	var lines []string
	for n := from; n < to; n++ {
		lines = append(lines, fmt.Sprintf(`{"instanceId":"s-%08x-%d","hostPort":%q,"zone":"here","machineType":"cache","cell":%d,`+
			`"lifecycle":%q,"weight":4,"startedAtMs":0}`, uint32(n)*2654435761, generation, f.servers[n].Addr(), n%8, state))
	}
	return strings.Join(lines, ",")
}

func (f *growthFleet) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.connections.Add(1)
		go serveGrowth(conn)
	}
}

// serveGrowth answers each request of a connection at once.
func serveGrowth(conn net.Conn) {
	defer discard(conn)
	in := bufio.NewReader(conn)
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 4 {
			return
		}
		out := resp.Text(resp.Text(resp.Head(nil, 4), words[1]), "served")
		out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_HIT", time.Now().UnixMilli()))
		write(conn, resp.Text(out, words[3]))
	}
}

// start starts the router and samples its descriptors, from when it listens until the test is over.
func (f *growthFleet) start(binary string, known bool) {
	f.t.Helper()
	free, err := net.Listen("tcp", growthHost(101))
	if err != nil {
		f.t.Fatal(err)
	}
	f.address = free.Addr().String()
	discard(free)
	past := "null"
	if known {
		past = f.journal.KnownEvents()
	}
	file := filepath.Join(f.t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":%d,"sockets":1024},"journal":%q,
 "known":%s,"settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"mayProbe":true,"secondCopies":true,
 "retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "report":{"fields":["inflight","x1","x0"]},
 "obligations":{"graceToAnswerS":0.008,"coldFrom":0.16,"warmUpS":17,"overloadFactor":2.5,"fallS":1.5,"stopSendingWithinS":0.25},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`,
		f.address, memoryMB, f.journal.Address(), past, f.routers, f.routers)
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.router = exec.Command(binary, "serve")
	f.router.Env = append(os.Environ(), "LB_CONFIG="+file)
	f.router.Stderr = os.Stderr
	if !testing.Verbose() {
		f.router.Stderr = nil
	}
	if err := f.router.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { kill(f.router.Process) })
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go f.sampleDescriptors(f.router.Process.Pid, done)
}

// sampleDescriptors keeps the most descriptors that the router has had since it listens. Until then its process may still
// be in exec, where it holds copies of this test's own thousands of descriptors while the system closes them one by one.
func (f *growthFleet) sampleDescriptors(pid int, done <-chan struct{}) {
	const interval = 50 * time.Millisecond
	for {
		if f.listening.Load() {
			names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // an error leaves no figure: play fails
			f.descriptors.Store(max(f.descriptors.Load(), int64(len(names))))
		}
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
	}
}

// healthy waits until the router can serve.
func (f *growthFleet) healthy() {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", f.address); err == nil {
			f.listening.Store(true)
			c := &client{t: f.t, conn: conn, in: bufio.NewReader(conn)}
			setTimeout(f.t, conn, patience)
			c.send(1, "health", 9, []byte{0})
			_, body := c.next()
			discard(conn)
			if strings.Contains(body, "\x02\x00\x03\x01") {
				return
			}
		}
	}
	f.t.Fatal("the router is not ready within 10 s")
}

// play plays the day and ends the router.
func (f *growthFleet) play(day growthDay) growthFigures {
	f.healthy()
	c := dial(f.t, f.address)
	setTimeout(f.t, c.conn, time.Minute)
	served := 0
	var reader sync.WaitGroup
	reader.Go(func() {
		for range day.requests {
			seq, body := c.next()
			if seq < 0 {
				return
			}
			if strings.HasSuffix(body, "body") || strings.Contains(body, "\x00\x00\x00\x04body") {
				served++
			}
		}
	})
	chance := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return chance.IntN(day.objects) }
	if day.skew > 0 {
		popular := rand.NewZipf(chance, day.skew, 4, uint64(day.objects-1))
		draw = func() int { return int(popular.Uint64()) }
	}
	group := len(f.servers) / 100
	began := time.Now()
	for n := range day.requests {
		time.Sleep(time.Until(began.Add(time.Duration(n) * day.gap)))
		if n%(day.requests/growthEvents) == day.requests/growthEvents-1 {
			from := n / (day.requests / growthEvents) * group
			f.journal.Publish(`{"pos":%d,"hosts":{"generation":2,"instances":[` + f.lines(from, from+group, 0, "left") + "," +
				f.lines(from, from+group, 1, "active") + `]}}`)
		}
		c.call(object(draw()), 1200)
	}
	reader.Wait()
	figures := growthFigures{
		served: float64(served) / float64(day.requests), peakMB: f.peakMB(),
		descriptors: float64(f.descriptors.Load()), connections: float64(f.connections.Load()),
	}
	if figures.descriptors == 0 {
		f.t.Error("the router's descriptors were never sampled")
	}
	if err := f.router.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Error(err)
	}
	if err := f.router.Wait(); err != nil {
		f.t.Error(err)
	}
	usage := f.router.ProcessState
	figures.cpuSeconds = (usage.UserTime() + usage.SystemTime()).Seconds()
	for _, call := range f.journal.Calls() {
		figures.listKB += float64(call.BytesSent) / 1000
	}
	return figures
}

// peakMB is the router's peak memory so far. The usage that a parent gets at the end holds the parent's own, from before exec.
func (f *growthFleet) peakMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.router.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			if err != nil {
				f.t.Fatal(err)
			}
			return n / 1000
		}
	}
	f.t.Fatal("no peak memory in the status")
	return 0
}

// A list of 10,000 members, over three times the largest fleet, is taken like any other: the router serves within its memory.
func TestListOfTenThousand(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	playAgain(t, func() (failures []string, late time.Duration) { return playTenThousand(t, binary) })
}

// playTenThousand plays a day with a list of 10,000, and gives what is wrong with it and how late a timer came meanwhile.
func playTenThousand(t *testing.T, binary string) (failures []string, late time.Duration) {
	t.Helper()
	const here, all = 100, 10_000
	f := newGrowthFleet(t, here, 900)
	others := []string{f.lines(0, here, 0, "active")}
	for n := here; n < all; n++ { // of another zone; nobody listens there
		others = append(others, fmt.Sprintf(`{"instanceId":"s-%08x-0","hostPort":"127.99.%d.%d:1","zone":"there","machineType":"cache",`+
			`"cell":%d,"lifecycle":"active","weight":4,"startedAtMs":0}`, uint32(n)*2654435761, n>>8, n&255, n%8))
	}
	f.journal.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` + strings.Join(others, ",") + `]}}`)
	f.start(binary, false)
	lateness := watchStalls()
	figures := f.play(growthDays[1])
	late = lateness()
	t.Logf("%+v", figures)
	if figures.served < 0.98 || figures.peakMB > memoryMB {
		failures = append(failures, fmt.Sprintf("served %.3f, peak memory %.1f of %d MB", figures.served, figures.peakMB, memoryMB))
	}
	return failures, late
}

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tealpath")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// growthPlays is how often a day is played at the most: one in which the machine stood still tells of the machine.
const growthPlays = 3

// A real router among 3,200 cache servers needs no more beside one among 200 than the users' table lets it, with the same
// traffic of its own. Both play at the same time, so that a busy machine weighs on both. A day that fails while this test's own
// timer came late is played again; the last play counts in any case.
func TestGrowth(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t)
	for _, day := range growthDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			playAgain(t, func() (failures []string, late time.Duration) { return playGrowth(t, binary, day) })
		})
	}
}

// playAgain plays a day, and again where it failed while this test's own timer came late; the last play counts in any case.
func playAgain(t *testing.T, day func() (failures []string, late time.Duration)) {
	t.Helper()
	for play := 1; ; play++ {
		failures, late := day()
		if len(failures) > 0 && late > stallFrom && play < growthPlays {
			t.Logf("played again: this test's timer came %v late in play %d, which failed: %v", late, play, failures)
			continue
		}
		for _, failure := range failures {
			t.Error(failure)
		}
		return
	}
}

// playGrowth plays a day with both fleets and gives what is over the table's bounds, and how late a timer came meanwhile.
func playGrowth(t *testing.T, binary string, day growthDay) (failures []string, late time.Duration) {
	t.Helper()
	const usualServers, manyServers = 200, 3200
	usual, many := newGrowthFleet(t, usualServers, 300), newGrowthFleet(t, manyServers, 900)
	for _, f := range []*growthFleet{usual, many} {
		f.journal.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` + f.lines(0, len(f.servers), 0, "active") + `]}}`)
		f.start(binary, day.known)
	}
	lateness := watchStalls()
	var atUsual, atMany growthFigures
	var both sync.WaitGroup
	both.Go(func() { atUsual = usual.play(day) })
	both.Go(func() { atMany = many.play(day) })
	both.Wait()
	late = lateness()
	for _, b := range growthBounds {
		bound := b.factor*b.of(atUsual) + b.plus + b.perServers*manyServers/1000
		t.Logf("%-30s %8.3f at %d, %8.3f at %d, bound %8.3f", b.what, b.of(atUsual), usualServers, b.of(atMany), manyServers, bound)
		if b.of(atMany) > bound {
			failures = append(failures, fmt.Sprintf("%s: %.3f, at most %.3f", b.what, b.of(atMany), bound))
		}
	}
	t.Logf("%-30s %8.3f at %d, %8.3f at %d; a timer came %v late", "share served", atUsual.served, usualServers, atMany.served, manyServers, late)
	if atUsual.served < 0.9 || atMany.served < leastServed*atUsual.served {
		failures = append(failures, fmt.Sprintf("share served: %.3f and %.3f", atUsual.served, atMany.served))
	}
	return failures, late
}

const (
	stallCheck = 10 * time.Millisecond
	stallFrom  = 50 * time.Millisecond // a timer that comes so late tells of a machine that stood still
)

// watchStalls watches a timer; what it returns ends that and gives by how much the timer was late at the most.
func watchStalls() (stop func() time.Duration) {
	done, worst := make(chan struct{}), make(chan time.Duration)
	go func() {
		var late time.Duration
		for {
			began := time.Now()
			select {
			case <-done:
				worst <- late
				return
			case <-time.After(stallCheck):
				late = max(late, time.Since(began)-stallCheck)
			}
		}
	}()
	return func() time.Duration {
		close(done)
		return <-worst
	}
}
