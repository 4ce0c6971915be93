package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/testkit"
)

// growthDay is the traffic of one router, the same in a fleet of any size.
type growthDay struct {
	name     string
	known    bool // the configuration knows the endpoints
	requests int
	interval time.Duration // between two requests
	objects  int
	skew     float64 // of their popularity, Zipf's exponent; 0: all are asked for alike
}

// listChanges are the changes of the endpoint list in a day, each of one in a hundred servers.
const listChanges = 15

// routerMemoryMB is a router's limit.
const routerMemoryMB = 32

// growthFigures is what one router needed for the day.
type growthFigures struct {
	cpuSeconds  float64
	peakMB      float64
	descriptors float64
	connections float64 // to cache servers
	listKB      float64
	served      float64 // share of the requests
}

// growthFleet is one real router among emulators of cache servers and of discovery, at one size.
type growthFleet struct {
	t           *testing.T
	servers     []net.Listener
	routers     int
	discovery   *discoveryserver.Service
	address     string
	router      *testkit.RouterProcess
	connections atomic.Int64
	listening   atomic.Bool // the router has accepted a connection
	descriptors atomic.Int64
}

// serverAddress is a free port of a loopback host that nothing else uses: on 127.0.0.1 another's connection may
// take a port that is free for a moment, and another's router may look for a server of its own that was there
// before.
func serverAddress() string {
	return fmt.Sprintf("127.100.%d.%d:0", os.Getpid()>>8&255, max(1, os.Getpid()&255))
}

// newGrowthFleet starts cache servers and discovery for one of many routers.
func newGrowthFleet(t *testing.T, servers, routers int) *growthFleet {
	t.Helper()
	f := &growthFleet{t: t, routers: routers, discovery: startDiscovery(t)}
	for range servers {
		listener := testkit.ListenAt(t, serverAddress())
		f.servers = append(f.servers, listener)
		go f.accept(listener)
	}
	return f
}

// accept serves a cache server's connections, and counts them.
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

// serveGrowth responds to each request of a connection at once.
func serveGrowth(conn net.Conn) {
	defer testkit.Close(conn)
	in := bufio.NewReader(conn)
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 4 {
			return
		}
		out := resp.Text(resp.Text(resp.Head(nil, 4), words[1]), "served")
		out = resp.Text(out, fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_HIT", time.Now().UnixMilli()))
		testkit.Write(conn, resp.Text(out, words[3]))
	}
}

// instances is the entries of servers in a list, as they are of a generation.
func (f *growthFleet) instances(from, to, generation int, lifecycle string) string {
	var entries []string
	for n := from; n < to; n++ {
		entries = append(entries, growthInstance(n, generation, f.servers[n].Addr().String(), "here", lifecycle))
	}
	return strings.Join(entries, ",")
}

// growthInstance is the entry of the server with a number in a list. Names are spread as hashes are.
func growthInstance(n, generation int, address, zone, lifecycle string) string {
	const nameFactor = 2654435761
	return fmt.Sprintf(`{"instanceId":"s-%08x-%d","hostPort":%q,"zone":%q,"machineType":"cache","cell":%d,`+
		`"lifecycle":%q,"weight":4,"startedAtMs":0}`, uint32(n)*nameFactor, generation, address, zone, n%8, lifecycle)
}

// publishAll publishes a list in place of any that came before.
func (f *growthFleet) publishAll(instances string) {
	f.discovery.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` + instances + `]}}`)
}

// growthConfig is a router's configuration. Left open are its address, memory in MB, the address of discovery,
// the known endpoints, and twice the number of routers.
const growthConfig = `{"name":"n0","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":%d,"sockets":1024},
 "journal":%q,"known":%s,"settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"mayProbe":true,
 "secondCopies":true,"retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,
 "maxOpen":1000},"report":{"fields":["inflight","x1","x0"]},"obligations":{"graceToAnswerS":0.008,"coldFrom":0.16,
 "warmUpS":17,"overloadFactor":2.5,"fallS":1.5,"stopSendingWithinS":0.25},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`

// start starts the router and samples its descriptors until the test is over.
func (f *growthFleet) start(binary string, known bool) {
	f.t.Helper()
	f.address = testkit.FreeAddress(f.t)
	knownEvents := "null"
	if known {
		knownEvents = f.discovery.KnownEvents()
	}
	path := filepath.Join(f.t.TempDir(), "config.json")
	testkit.WriteFile(f.t, path, fmt.Appendf(nil, growthConfig,
		f.address, routerMemoryMB, f.discovery.Address(), knownEvents, f.routers, f.routers))
	f.router = testkit.StartProcess(f.t, testkit.ProcessConfig{
		Command:     []string{binary, "serve"},
		Environment: []string{"LB_CONFIG=" + path},
		Address:     f.address,
	})
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go f.sampleDescriptors(done)
}

// sampleDescriptors keeps the most descriptors that the router has had since it listens. Until then its process may still
// be in exec, where it has copies of this test's own thousands of descriptors while the system closes them one by one.
func (f *growthFleet) sampleDescriptors(done <-chan struct{}) {
	const interval = 50 * time.Millisecond
	for {
		if f.listening.Load() {
			names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.router.PID())) // an error leaves no figure: play fails
			f.descriptors.Store(max(f.descriptors.Load(), int64(len(names))))
		}
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
	}
}

// play plays the day, ends the router, and returns what that needed.
func (f *growthFleet) play(day growthDay) growthFigures {
	f.router.WaitHealthy(10 * time.Second)
	f.listening.Store(true)
	client := testkit.Dial(f.t, f.address)
	testkit.SetTimeout(f.t, client.Conn, time.Minute)
	served := 0
	var reader sync.WaitGroup
	reader.Go(func() { served = countServed(client, day.requests) })
	f.send(client, day)
	reader.Wait()
	figures := growthFigures{
		served:      float64(served) / float64(day.requests),
		peakMB:      f.peakMB(),
		descriptors: float64(f.descriptors.Load()),
		connections: float64(f.connections.Load()),
	}
	if figures.descriptors == 0 {
		f.t.Error("the router's descriptors were never sampled")
	}
	f.router.Signal(syscall.SIGTERM)
	_, usage, err := f.router.Wait()
	if err != nil {
		f.t.Error(err)
	}
	figures.cpuSeconds = (usage.UserTime() + usage.SystemTime()).Seconds()
	for _, call := range f.discovery.Calls() {
		figures.listKB += float64(call.BytesSent) / 1000
	}
	return figures
}

// countServed reads responses and returns how many have the body of the request.
func countServed(client *testkit.Client, requests int) (served int) {
	for range requests {
		sequence, result := client.Next()
		if sequence == testkit.ClosedSequence {
			return served
		}
		if strings.HasSuffix(result, "body") || strings.Contains(result, "\x00\x00\x00\x04body") {
			served++
		}
	}
	return served
}

// send sends the requests of the day, and changes the list meanwhile.
func (f *growthFleet) send(client *testkit.Client, day growthDay) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return random.IntN(day.objects) }
	if day.skew > 0 {
		popular := rand.NewZipf(random, day.skew, 4, uint64(day.objects-1))
		draw = func() int { return int(popular.Uint64()) }
	}
	group := len(f.servers) / 100
	betweenChanges := day.requests / listChanges
	began := time.Now()
	for n := range day.requests {
		time.Sleep(time.Until(began.Add(time.Duration(n) * day.interval)))
		if n%betweenChanges == betweenChanges-1 {
			from := n / betweenChanges * group
			f.discovery.Publish(`{"pos":%d,"hosts":{"generation":2,"instances":[` +
				f.instances(from, from+group, 0, "left") + "," + f.instances(from, from+group, 1, "active") + `]}}`)
		}
		client.Call(testkit.ObjectID(draw()), clientTimeout)
	}
}

// peakMB is the router's peak memory so far. The usage that a parent gets at the end holds the parent's own,
// from before exec.
func (f *growthFleet) peakMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.router.PID()))
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if kilobytes, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			number, err := strconv.ParseFloat(strings.Fields(kilobytes)[0], 64)
			if err != nil {
				f.t.Fatal(err)
			}
			return number / 1000
		}
	}
	f.t.Fatal("no peak memory in the status")
	return 0
}
