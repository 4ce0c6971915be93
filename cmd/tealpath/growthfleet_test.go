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

// trafficProfile is the traffic that a growth test sends to one router. It does not depend on the size of the fleet.
type trafficProfile struct {
	name     string
	known    bool // whether the configuration contains the endpoint list
	requests int
	interval time.Duration // time between two requests
	objects  int
	skew     float64 // Zipf exponent of the objects' popularity; 0: all objects are equally popular
}

// listChanges is the number of changes of the endpoint list during the traffic. Each change replaces 1% of the cache
// servers.
const listChanges = 15

// routerMemoryMB is the memory limit in the configuration of each router of the growth tests, MB.
const routerMemoryMB = 32

// growthFigures contains the resources that one router used for its traffic, and how much it served.
type growthFigures struct {
	cpuSeconds  float64
	peakMB      float64
	descriptors float64 // maximum number of open descriptors of the router
	connections float64 // number of connections opened to cache servers
	listKB      float64 // data received from the discovery service, KB
	served      float64 // share of the requests that were served, 0 to 1
}

// growthFleet is one router in a separate process, with emulated cache servers and an emulated discovery service.
type growthFleet struct {
	t           *testing.T
	servers     []net.Listener
	routers     int // number of routers according to the settings; only one runs
	discovery   *discoveryserver.Service
	address     string // HOST:PORT of the router
	router      *testkit.RouterProcess
	connections atomic.Int64 // number of connections that cache servers have accepted
	listening   atomic.Bool  // whether the router has accepted a connection
	descriptors atomic.Int64 // largest number of open descriptors sampled so far
}

// serverAddress returns an address with port 0 on a loopback host that only this process uses. On 127.0.0.1,
// connections of other processes could take the ports. A cache server of this test could also get the address of an
// ended server of another test, to which that test's routers still connect.
func serverAddress() string {
	return fmt.Sprintf("127.100.%d.%d:0", os.Getpid()>>8&255, max(1, os.Getpid()&255))
}

// newGrowthFleet starts cache servers and a discovery service. routers is the number of routers in the settings.
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

// accept counts and serves the connections of one cache server.
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

// serveGrowth responds to all requests on a connection, without a delay.
func serveGrowth(conn net.Conn) {
	defer testkit.Close(conn)
	in := bufio.NewReader(conn)
	for {
		words, err := resp.Read(in)
		if err != nil || len(words) < 4 {
			return
		}
		out := resp.AppendString(resp.AppendString(resp.AppendArrayHeader(nil, 4), words[1]), "served")
		out = resp.AppendString(out,
			fmt.Sprintf("entity=4be0c1927d55a6f3,issued=%d,detail=TCP_HIT", time.Now().UnixMilli()))
		testkit.Write(conn, resp.AppendString(out, words[3]))
	}
}

// instances returns the list entries of the servers from number first to number end - 1. generation is part of each
// server's name; a higher one stands for a restart of the server.
func (f *growthFleet) instances(first, end, generation int, lifecycle string) string {
	var entries []string
	for n := first; n < end; n++ {
		entries = append(entries, growthInstance(n, generation, f.servers[n].Addr().String(), "here", lifecycle))
	}
	return strings.Join(entries, ",")
}

// growthInstance returns the list entry of server n. The number in the server's name is spread over all 32-bit values,
// as a hash would be.
func growthInstance(n, generation int, address, zone, lifecycle string) string {
	const nameFactor = 2654435761
	return fmt.Sprintf(`{"instanceId":"s-%08x-%d","hostPort":%q,"zone":%q,"machineType":"cache","cell":%d,`+
		`"lifecycle":%q,"weight":4,"startedAtMs":0}`, uint32(n)*nameFactor, generation, address, zone, n%8, lifecycle)
}

// publishAll publishes a complete endpoint list, which replaces the previous one.
func (f *growthFleet) publishAll(instances string) {
	f.discovery.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` + instances + `]}}`)
}

// growthConfig is the format of a router's configuration. Its arguments are the router's address, its memory in MB, the
// address of the discovery service, the known watch events, and the number of routers, which is passed twice.
const growthConfig = `{"name":"n0","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":%d,"sockets":1024},
 "journal":%q,"known":%s,"settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"mayProbe":true,
 "secondCopies":true,"retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,
 "maxOpen":1000},"report":{"fields":["inflight","x1","x0"]},"obligations":{"graceToAnswerS":0.008,"coldFrom":0.16,
 "warmUpS":17,"overloadFactor":2.5,"fallS":1.5,"stopSendingWithinS":0.25},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`

// start starts the router, and a goroutine that samples its descriptors until the test ends.
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

// sampleDescriptors records the maximum number of open descriptors of the router since it began to listen. Before
// that, the process may still be in exec, where it has copies of this test's thousands of descriptors until the system
// has closed them one by one.
func (f *growthFleet) sampleDescriptors(done <-chan struct{}) {
	const interval = 50 * time.Millisecond
	for {
		if f.listening.Load() {
			// After an error the count is 0. run fails the test if there is no other sample.
			names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.router.PID()))
			f.descriptors.Store(max(f.descriptors.Load(), int64(len(names))))
		}
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
	}
}

// run sends the traffic, shuts down the router, and returns the resources that it used.
func (f *growthFleet) run(profile trafficProfile) growthFigures {
	f.router.WaitHealthy(10 * time.Second)
	f.listening.Store(true)
	client := testkit.Dial(f.t, f.address)
	testkit.SetTimeout(f.t, client.Conn, time.Minute)
	served := 0
	var reader sync.WaitGroup
	reader.Go(func() { served = countServed(client, profile.requests) })
	f.send(client, profile)
	reader.Wait()
	figures := growthFigures{
		served:      float64(served) / float64(profile.requests),
		peakMB:      f.peakMB(),
		descriptors: float64(f.descriptors.Load()),
		connections: float64(f.connections.Load()),
	}
	if figures.descriptors == 0 {
		f.t.Errorf("the descriptors of process %d were never sampled", f.router.PID())
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

// countServed reads one response per request, or until the connection ends, and returns how many contain the body of
// an object.
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

// send sends the requests and publishes the changes of the endpoint list in between.
func (f *growthFleet) send(client *testkit.Client, profile trafficProfile) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return random.IntN(profile.objects) }
	if profile.skew > 0 {
		popular := rand.NewZipf(random, profile.skew, 4, uint64(profile.objects-1))
		draw = func() int { return int(popular.Uint64()) }
	}
	group := len(f.servers) / 100
	betweenChanges := profile.requests / listChanges
	began := time.Now()
	for n := range profile.requests {
		time.Sleep(time.Until(began.Add(time.Duration(n) * profile.interval)))
		if n%betweenChanges == betweenChanges-1 {
			from := n / betweenChanges * group
			f.discovery.Publish(`{"pos":%d,"hosts":{"generation":2,"instances":[` +
				f.instances(from, from+group, 0, "left") + "," + f.instances(from, from+group, 1, "active") + `]}}`)
		}
		client.Call(testkit.ObjectID(draw()), clientTimeout)
	}
}

// peakMB returns the peak memory of the router until now, MB. The usage that the kernel returns when a process ends is
// not suitable: its peak includes the memory of the parent process before exec.
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
	f.t.Fatalf("no line VmHWM in /proc/%d/status", f.router.PID())
	return 0
}
