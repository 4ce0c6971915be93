// Package operatorconfig reads the operator's file: optional settings, as S-expressions, that the platform's
// configuration file does not have. A file with any error is rejected completely; each error has its line, its
// column and a reason. docs/oncall-fleet.md and deploy/fleet.example.sx explain the keys.
package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tealpath/internal/compatibility"
	"tealpath/internal/connpool"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/operatorconfig/sexpr"
)

// File is an operator's file.
type File struct {
	SocketPath    string                // of the Unix socket for commands; empty: there is none
	Cluster       *Cluster              // nil: this instance shares nothing with others
	Idle          *IdleConnections      // nil: the platform's defaults apply to clients' connections
	ReadinessHold startup.ReadinessHold // zero: the startup is not held

	// Connections bounds connections to caches; nil: they are opened as attempts need them. The caller sets
	// Router, Seed and Routers, which are not in the file.
	Connections *connpool.Config

	SnapshotPath     string // of the file in which the router's state is stored; empty: there is none
	SnapshotInterval int64  // ns; between two writes of it

	startPosition sexpr.Position
	linksPosition sexpr.Position
}

// maxSocketPathLength bounds the socket's path, bytes: a little under the 107 that the system allows.
const maxSocketPathLength = 100

// Load reads and checks an operator's file for the instance with a name. Paths in it are relative to its folder.
func Load(path, name string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	file, err := Parse(string(raw), name, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operator's file %s:\n%w", path, err)
	}
	return file, nil
}

// Parse decodes and checks a file's text for the instance with a name. Paths in it are relative to a folder. The
// error joins an *Error for each fault.
func Parse(text, name, folder string) (*File, error) {
	lists, err := sexpr.Parse(text)
	if err != nil {
		var syntax *sexpr.SyntaxError
		if errors.As(err, &syntax) {
			return nil, &Error{Position: syntax.Position, Reason: syntax.Reason}
		}
		return nil, err
	}
	var decode decoder
	file := &File{}
	root := &sexpr.Node{
		Position: sexpr.Position{Line: 1, Column: 1},
		IsList:   true,
		List:     []*sexpr.Node{{Word: "file"}},
	}
	decode.section(root, lists, section{
		"socket":   {decode: decode.text(&file.SocketPath)},
		"idle":     {decode: decode.idleConnections(&file.Idle)},
		"start":    {decode: at(&file.startPosition, decode.readinessHold(&file.ReadinessHold))},
		"links":    {decode: at(&file.linksPosition, decode.connections(&file.Connections))},
		"snapshot": {decode: decode.snapshot(file, folder)},
		"fleet":    {decode: decode.cluster(&file.Cluster, name, folder)},
	})
	file.SocketPath = resolve(folder, file.SocketPath)
	if len(file.SocketPath) > maxSocketPathLength {
		decode.errors.addf(root.Position, "the socket's path has %d bytes, %d can be",
			len(file.SocketPath), maxSocketPathLength)
	}
	return file, decode.errors.err()
}

// resolve returns the path of a file that is named relative to a folder. An empty or absolute path stays.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// Limits of the values of (start …).
const (
	minCallRate     = 0.1 // calls a second
	maxCallRate     = 1e6 // calls a second
	minHoldDuration = time.Second
	maxHoldDuration = time.Minute
)

// readinessHold decodes (start …).
func (d *decoder) readinessHold(into *startup.ReadinessHold) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		d.section(list, arguments, section{
			"rate": {required: true, decode: d.number(&into.CallRate, minCallRate, maxCallRate)},
			"hold": {required: true, decode: d.duration(&into.MaxDuration, minHoldDuration, maxHoldDuration)},
		})
	}
}

// Limits of the values of (links …).
const (
	maxConnectionsPerCache = 1 << 20
	minConnectRate         = 0.1 // connections a second
	maxConnectRate         = 1e6 // connections a second
)

// connections decodes (links …): how many connections each cache takes, and how fast.
func (d *decoder) connections(into **connpool.Config) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		config := &connpool.Config{}
		*into = config
		maxConnections := int64(1)
		d.section(list, arguments, section{
			"holds": {required: true, decode: d.integer(&maxConnections, 1, maxConnectionsPerCache)},
			"opens": {decode: d.number(&config.MaxConnectRate, minConnectRate, maxConnectRate)},
		})
		config.MaxConnections = int(maxConnections)
	}
}

// Values of (snapshot …).
const (
	defaultSnapshotInterval = 10 * time.Second
	minSnapshotInterval     = time.Second
	maxSnapshotInterval     = time.Hour
)

// snapshot decodes (snapshot …): where and how often the router's state is stored.
func (d *decoder) snapshot(file *File, folder string) decodeFunc {
	return func(list *sexpr.Node, arguments []*sexpr.Node) {
		file.SnapshotInterval = int64(defaultSnapshotInterval)
		d.section(list, arguments, section{
			"file":  {required: true, decode: d.text(&file.SnapshotPath)},
			"every": {decode: d.duration(&file.SnapshotInterval, minSnapshotInterval, maxSnapshotInterval)},
		})
		file.SnapshotPath = resolve(folder, file.SnapshotPath)
	}
}

// SharedSettings returns the settings of a file that have to be compatible between instances. routers is the
// number of routers in the deployment; 0: unknown.
func (f *File) SharedSettings(routers int) compatibility.Settings {
	shared := compatibility.Settings{Routers: routers}
	if f.Connections != nil {
		shared.MaxConnections = f.Connections.MaxConnections
	}
	if f.Cluster == nil {
		return shared
	}
	shared.Slots = f.Cluster.Slots
	shared.LeaseDuration = f.Cluster.LeaseDuration
	shared.MaxClockDrift = f.Cluster.MaxClockDrift
	shared.Voters = f.Cluster.Voters
	if f.Cluster.Probe != nil {
		shared.ProbePeriod = f.Cluster.Probe.Period
	}
	return shared
}

// CheckConnections checks whether a number of routers in the location can share the connections that caches
// take.
func (f *File) CheckConnections(routers int) error {
	if f.Connections == nil {
		return nil
	}
	f.Connections.Routers = routers
	if err := f.Connections.Check(); err != nil {
		return &Error{Position: f.linksPosition, Reason: err.Error()}
	}
	return nil
}

// CheckReadinessHold checks whether the hold of the startup is long enough for a number of routers that start
// together.
func (f *File) CheckReadinessHold(routers int) error {
	if err := f.ReadinessHold.Check(routers); err != nil {
		return &Error{Position: f.startPosition, Reason: err.Error()}
	}
	return nil
}
