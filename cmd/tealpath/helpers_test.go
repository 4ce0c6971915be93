package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/testkit"

	"github.com/urfave/cli/v3"
)

// runAsProgram is the environment variable that makes this test binary run as tealpath serve. Tests start the binary
// with it in a separate process, which can be signalled and killed without ending the tests.
const runAsProgram = "TEALPATH_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		os.Args = []string{"tealpath", "serve"}
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	// clientTimeout is how long a client waits for a response, unless a test says otherwise.
	clientTimeout = 1200 * time.Millisecond
	// drainTimeout is the maximum duration of a shutdown without outstanding requests.
	drainTimeout = 1500 * time.Millisecond
	// noDiscovery is an address at which no discovery service listens.
	noDiscovery = "127.0.0.1:1"
	// unanswered is the name of an object for which caches never respond.
	unanswered = "dead000000000001"
)

// testRouter is a router's configuration, with which the program can be run in this process or in a separate one.
type testRouter struct {
	address    string
	configPath string
	discovery  string   // address of the discovery service
	caches     []string // addresses of the caches s-a and s-b
	deadline   float64  // longest deadline of a request, in seconds
	changes    []string // replacements in the configuration's text: old, new, old, new, …
}

// configFormat is the format of a router's configuration. Its arguments are the router's name, its address, the
// address of the discovery service, the known endpoints and the longest deadline in seconds.
const configFormat = `{"name":"%s","listen":"%s","seed":"07","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"journal":"%s","known":{"pos":1,"entries":[{"pos":1,"hosts":{"instances":[%s]}}]},"settings":{"balancers":1,
"locality":"here","failureDomains":["hub","here"],"machineTypes":["cache","parent","origin"],"familyInfo":{
"upperKind":1,"rootKind":2,"zoneBalancers":[0,1],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,
"secondCopies":true,"retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,
"streamsPerConn":100,"maxOpen":1000},"obligations":{"graceToAnswerS":0.008},"profiles":[{"name":"stills",
"onTimeS":0.4,"deadlineS":%g,"points":1,"effect":"retryable","keyScope":"all"}]}}`

// newTestRouter writes the configuration of a router that has two caches.
func newTestRouter(t *testing.T, caches []string, discovery string, deadline float64, changes ...string) *testRouter {
	t.Helper()
	router := &testRouter{
		address:    testkit.FreeAddress(t),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		discovery:  discovery,
		caches:     caches,
		deadline:   deadline,
		changes:    changes,
	}
	router.writeConfig(t, "n0", discovery)
	return router
}

// instanceJSON returns the entry of an endpoint in an endpoint list.
func instanceJSON(name, address, zone, machineType, lifecycle string) string {
	const format = `{"instanceId":"%s","hostPort":"%s","zone":"%s","machineType":"%s","lifecycle":"%s","weight":4}`
	return fmt.Sprintf(format, name, address, zone, machineType, lifecycle)
}

// endpointsJSON returns the endpoints that the router knows from its configuration.
func (r *testRouter) endpointsJSON() string {
	return strings.Join([]string{
		instanceJSON("s-a", r.caches[0], "here", "cache", "active"),
		instanceJSON("s-b", r.caches[1], "here", "cache", "active"),
		instanceJSON("p-a", "127.0.0.1:1", "hub", "parent", "active"),
		instanceJSON("o-a", "127.0.0.1:1", "hub", "origin", "active"),
	}, ",")
}

// config returns the configuration with the given router name and address of the discovery service.
func (r *testRouter) config(name, discovery string) []byte {
	text := fmt.Sprintf(configFormat, name, r.address, discovery, r.endpointsJSON(), r.deadline)
	return []byte(strings.NewReplacer(r.changes...).Replace(text))
}

// writeConfig replaces the configuration file by one with the given router name and address of the discovery service.
func (r *testRouter) writeConfig(t *testing.T, name, discovery string) {
	t.Helper()
	testkit.ReplaceFile(t, r.configPath, r.config(name, discovery))
}

// forgetEndpoints removes the known endpoints from the configuration file.
func (r *testRouter) forgetEndpoints(t *testing.T) {
	t.Helper()
	text := string(r.config("n0", r.discovery))
	from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
	testkit.WriteFile(t, r.configPath, []byte(text[:from]+`"known":null,`+text[to:]))
}

// replaceInConfig replaces texts in the configuration and rewrites its file. changes alternates between old and new
// texts. The test fails if nothing is replaced.
func (r *testRouter) replaceInConfig(t *testing.T, changes ...string) {
	t.Helper()
	before := r.config("n0", r.discovery)
	r.changes = append(r.changes, changes...)
	if slices.Equal(before, r.config("n0", r.discovery)) {
		t.Fatalf("the configuration contains nothing to replace: %q", changes)
	}
	r.writeConfig(t, "n0", r.discovery)
}

// listEvent returns the format of a watch event with the endpoint list of the configuration. Its argument is the
// position. The configuration contains the event at position 1, so a router that watches from there on receives
// nothing new.
func (r *testRouter) listEvent() string {
	return `{"pos":%d,"hosts":{"instances":[` + r.endpointsJSON() + `]}}`
}

// drainEvent returns the format of a watch event that reports a cache as draining. Its argument is the event's
// position.
func drainEvent(cache *testkit.Cache, name string) string {
	instance := instanceJSON(name, cache.Address(), "here", "cache", "leaving")
	return `{"pos":%d,"hosts":{"instances":[` + instance + `]}}`
}

// useEnvironment sets the environment variables from which a router in this process takes the path of its
// configuration and its address.
func (r *testRouter) useEnvironment(t *testing.T) {
	t.Helper()
	t.Setenv("LB_CONFIG", r.configPath)
	t.Setenv("LB_LISTEN", r.address)
}

// start starts the program in this process. The channel receives the program's error when it ends.
func (r *testRouter) start() <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- app().Run(context.Background(), []string{"tealpath", "serve"}) }()
	return ended
}

// serve starts the program in this process and waits until it listens.
func (r *testRouter) serve(t *testing.T) (ended <-chan error) {
	t.Helper()
	r.useEnvironment(t)
	ended = r.start()
	testkit.WaitListening(t, r.address)
	return ended
}

// spawn starts the router in a separate process, and does not wait until it listens.
func (r *testRouter) spawn(t *testing.T) *testkit.RouterProcess {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return testkit.StartProcess(t, testkit.ProcessConfig{
		Command:     []string{self},
		Environment: []string{runAsProgram + "=1", "LB_CONFIG=" + r.configPath, "LB_LISTEN=" + r.address},
		Address:     r.address,
	})
}

// spawnHealthy starts the router in a separate process and waits until it can serve.
func (r *testRouter) spawnHealthy(t *testing.T) *testkit.RouterProcess {
	t.Helper()
	process := r.spawn(t)
	process.WaitHealthy(testkit.Timeout)
	return process
}

// terminate sends SIGTERM to this process, which shuts down the router in it.
func terminate(t *testing.T) {
	t.Helper()
	testkit.SignalSelf(t, syscall.SIGTERM)
}

// startCaches starts two caches, s-a and s-b.
func startCaches(t *testing.T) []*testkit.Cache {
	t.Helper()
	return []*testkit.Cache{testkit.StartCache(t), testkit.StartCache(t)}
}

// addresses returns the address at which each of the caches listens.
func addresses(caches []*testkit.Cache) (listed []string) {
	for _, cache := range caches {
		listed = append(listed, cache.Address())
	}
	return listed
}

// startDiscovery starts an emulated discovery service that ends with the test.
func startDiscovery(t *testing.T) *discoveryserver.Service {
	t.Helper()
	service, err := discoveryserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service
}

// newTestCell starts two caches and a discovery service that has published them, and writes the configuration of a
// router that uses them.
func newTestCell(t *testing.T, deadline float64, changes ...string) (
	*testRouter, []*testkit.Cache, *discoveryserver.Service,
) {
	t.Helper()
	service := startDiscovery(t)
	caches := startCaches(t)
	router := newTestRouter(t, addresses(caches), service.Address(), deadline, changes...)
	service.Publish(router.listEvent())
	return router, caches, service
}

// requestCount returns how many requests for an object caches have received in total, or for all objects if the name
// is empty.
func requestCount(caches []*testkit.Cache, object string) (count int) {
	for _, cache := range caches {
		count += len(cache.Requests(object))
	}
	return count
}

// exitCode returns the exit code of the program for the error of a command, or for nil.
func exitCode(err error) int {
	var coded cli.ExitCoder
	switch {
	case err == nil:
		return 0
	case errors.As(err, &coded):
		return coded.ExitCode()
	default:
		return exitUsage
	}
}

// expectExit checks the exit code of a command, and that its error, if it has one, contains a text.
func expectExit(t *testing.T, err error, code int, part string) {
	t.Helper()
	if got := exitCode(err); got != code || err != nil && !strings.Contains(err.Error(), part) {
		t.Errorf("exit code %d, error %v; want exit code %d, an error with %q", got, err, code, part)
	}
}
