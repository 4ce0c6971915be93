package server

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/logevent"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/snapshot"
	"tealpath/internal/testkit"

	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer for log lines that is safe for concurrent use.
type lockedBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer // guarded by mu
}

func (b *lockedBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(raw)
}

// count returns the number of log lines of an event that contain a text.
func (b *lockedBuffer) count(event logevent.Event, text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.lines.String()) {
		isEvent := strings.Contains(line, fmt.Sprintf(`"event":%q`, event.Kind().Name))
		if isEvent && strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// runningServer is a server that runs in the process of the test.
type runningServer struct {
	address  string
	log      *lockedBuffer
	shutdown chan struct{} // closed to begin the shutdown
	ended    chan error    // receives the error that Run returns
}

// testConfig is the format of a router's configuration. Its arguments are the address of the router, the address of
// the discovery service, the known watch events, and the longest deadline in seconds.
const testConfig = `{"name":"n1","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":64,"sockets":256},
 "journal":%q,"known":%s,"settings":{"balancers":1,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "limits":{"attemptsCap":6,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "profiles":[{"name":"stills","onTimeS":0.1,"deadlineS":%g,"points":1,"effect":"retryable"}]}}`

// startServer starts a server that stores a snapshot on a disk once per interval. deadline is the longest deadline of
// its clients.
func startServer(t *testing.T, disk snapshot.FileSystem, deadline, interval time.Duration) *runningServer {
	t.Helper()
	discovery, err := discoveryserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Publish(`{"pos":%d,"hosts":{"generation":1,"reset":true,"instances":[` +
		`{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"here","machineType":"cache",` +
		`"lifecycle":"active","weight":4}]}}`)
	running := &runningServer{
		address:  testkit.FreeAddress(t),
		log:      &lockedBuffer{},
		shutdown: make(chan struct{}),
		ended:    make(chan error, 1),
	}
	raw := fmt.Appendf(nil, testConfig,
		running.address, discovery.Address(), discovery.KnownEvents(), deadline.Seconds())
	c, err := config.Parse(raw, "", "")
	if err != nil {
		t.Fatal(err)
	}
	operator := &operatorconfig.File{SnapshotPath: snapshotPath, SnapshotInterval: int64(interval)}
	s := New(c, operator, zerolog.New(running.log))
	s.openStore = func(path string) *snapshot.Store { return snapshot.NewStoreWithFileSystem(disk, path) }
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { running.ended <- s.Run(ctx, running.shutdown, nil, nil) }()
	return running
}

// waitEnded waits until the server has ended. If it does not end within 10 s, waitEnded fails the test and returns
// false.
func (r *runningServer) waitEnded(t *testing.T) bool {
	t.Helper()
	select {
	case err := <-r.ended:
		if err != nil {
			t.Errorf("Run returned %v", err)
		}
		return true
	case <-time.After(10 * time.Second):
		t.Error("the server did not end within 10 s")
		return false
	}
}

// healthy reports whether the server answers a health check within 1 s and is ready.
func (r *runningServer) healthy(t *testing.T) bool {
	return testkit.IsHealthy(t, r.address, time.Second)
}

// waitHealthy waits until the server is ready. It fails the test if this takes longer than testkit.Timeout.
func (r *runningServer) waitHealthy(t *testing.T) {
	t.Helper()
	testkit.WaitUntil(t, testkit.Timeout, "the server is healthy", func() bool { return r.healthy(t) })
}
