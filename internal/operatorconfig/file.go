// Package operatorconfig reads the operator's file: optional settings, written as S-expressions, that the
// platform's configuration file does not have. A file with any error is rejected as a whole; each error has a line,
// a column and a reason. docs/oncall-fleet.md and deploy/fleet.example.sx explain the keys.
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

// File contains the settings of an operator's file.
type File struct {
	SocketPath    string                // path of the admin socket; empty: there is none
	Cluster       *Cluster              // cluster of this instance; nil: the instance is stand-alone
	Idle          *IdleConnections      // limits of clients' connections; nil: the platform's defaults apply
	ReadinessHold startup.ReadinessHold // delay of readiness at startup; zero value: none

	// Connections limits the connections to caches; nil: they are opened as attempts need them. The caller sets the
	// fields Router, Seed and Routers, which are not in the file.
	Connections *connpool.Config

	SnapshotPath     string // path of the file in which the router's state is stored; empty: there is none
	SnapshotInterval int64  // time between two writes of the snapshot, ns

	// Positions of (start …) and (links …), for errors that are found after decoding.
	startPosition sexpr.Position
	linksPosition sexpr.Position
}

// maxSocketPathLength is the maximum length of the socket's path in bytes. Linux allows 107.
const maxSocketPathLength = 100

// Load reads and checks an operator's file. name is the name of this instance. Paths in the file are relative to
// the file's folder.
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

// Parse decodes and checks the text of an operator's file. name is the name of this instance. Paths in the text are
// relative to folder. The returned error joins one *Error for each error in the text.
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
		"start":    {decode: withPosition(&file.startPosition, decode.readinessHold(&file.ReadinessHold))},
		"links":    {decode: withPosition(&file.linksPosition, decode.connections(&file.Connections))},
		"snapshot": {decode: decode.snapshot(file, folder)},
		"fleet":    {decode: decode.cluster(&file.Cluster, name, folder)},
	})
	file.SocketPath = resolve(folder, file.SocketPath)
	if len(file.SocketPath) > maxSocketPathLength {
		decode.errors.addf(root.Position, "socket: the path %q has %d bytes, at most %d are allowed",
			file.SocketPath, len(file.SocketPath), maxSocketPathLength)
	}
	return file, decode.errors.err()
}

// resolve joins a relative path to the folder. It returns an empty or absolute path unchanged.
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

// readinessHold decodes (start …): how many routers may call discovery per second, and how long readiness may be
// delayed until a router has been answered.
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

// connections decodes (links …): how many connections each cache accepts from all routers, and at which rate.
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

// Default value and limits of (every …) in (snapshot …).
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

// SharedSettings returns the settings that must be compatible between the files of all instances. routers is the
// number of routers in the deployment, or 0 if it is unknown.
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

// CheckConnections checks that the limits of (links …) suffice for this number of routers in the location. It sets
// Connections.Routers.
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

// CheckReadinessHold checks that (hold …) is long enough for the first calls of this number of routers if they start
// at the same time.
func (f *File) CheckReadinessHold(routers int) error {
	if err := f.ReadinessHold.Check(routers); err != nil {
		return &Error{Position: f.startPosition, Reason: err.Error()}
	}
	return nil
}
