package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"tealpath/internal/config"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/logevent"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/protocol/thrift"
	"tealpath/internal/snapshot"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // guarded by mu
}

func (b *lockedBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(raw)
}

// count returns the number of lines of an event that contain a part.
func (b *lockedBuffer) count(event logevent.Event, part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.text.String()) {
		isEvent := strings.Contains(line, fmt.Sprintf(`"event":%q`, event.Kind().Name))
		if isEvent && strings.Contains(line, part) {
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
	ended    chan error    // what Run returned
}

// testConfig is the format of a configuration with one cache. Its arguments are the address of the router, that of the
// discovery service, the known watch events, and the longest deadline in seconds.
const testConfig = `{"name":"n1","listen":%q,"seed":"07","limits":{"cores":1,"memory_mb":64,"sockets":256},
 "journal":%q,"known":%s,"settings":{"balancers":1,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "limits":{"attemptsCap":6,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "profiles":[{"name":"stills","onTimeS":0.1,"deadlineS":%g,"points":1,"effect":"retryable"}]}}`

// startServer starts a server that stores snapshots on a disk, one in each interval. deadline is the longest deadline
// of its clients.
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
		address:  freeAddress(t),
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

// freeAddress returns a loopback address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discard(listener)
	return listener.Addr().String()
}

// waitEnded waits until the server has ended, and returns false and fails the test if it does not.
func (r *runningServer) waitEnded(t *testing.T) bool {
	t.Helper()
	select {
	case err := <-r.ended:
		if err != nil {
			t.Error(err)
		}
		return true
	case <-time.After(10 * time.Second):
		t.Error("the server did not end within 10 s")
		return false
	}
}

// healthy reports whether the server answers a health check and is ready.
func (r *runningServer) healthy() bool {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return false
	}
	defer discard(conn)
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	message := append([]byte{0x80, 1, 0, thrift.Call, 0, 0, 0, 6}, "health"...)
	message = append(binary.BigEndian.AppendUint32(message, 1), 2, 0, 1, 0, 0)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
	if _, err := conn.Write(frame); err != nil {
		return false
	}
	size := make([]byte, 4)
	if _, err := io.ReadFull(conn, size); err != nil {
		return false
	}
	answer := make([]byte, binary.BigEndian.Uint32(size))
	_, err = io.ReadFull(conn, answer)
	return err == nil && bytes.Contains(answer, []byte{2, 0, 3, 1}) // field 3, `good`, is true
}

// eventually waits until a condition is true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const timeout = 5 * time.Second
	for end := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}
