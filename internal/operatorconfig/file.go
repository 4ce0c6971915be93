// Package operatorconfig reads the operator's file: settings that the platform knows nothing of, as
// S-expressions. A file is checked as a whole before anything of it is in force; each error names line, column
// and reason. docs/oncall-fleet.md and deploy/fleet.example.sx explain the keys.
package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"tealpath/internal/compatibility"
	"tealpath/internal/connpool"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/operatorconfig/sexpr"
	"time"
)

// File is an operator's file.
type File struct {
	SocketPath    string           // path of the Unix socket for commands; empty is none
	Cluster       *Cluster         // nil: instances don't talk to each other
	Idle          *IdleConnections // nil: clients' connections are kept as the platform states it
	ReadinessHold startup.ReadinessHold
	// Connections bounds connections to caches; nil: they are opened as attempts need them. The router, the
	// seed and the number of routers are for others to say.
	Connections      *connpool.Config
	SnapshotPath     string // path of the file in which what the router has learned is stored; empty is none
	SnapshotInterval int64  // ns

	startPosition sexpr.Position
	linksPosition sexpr.Position
}

// maxSocketPathLength is a little under what the system takes, in bytes.
const maxSocketPathLength = 100

// Load reads and checks an operator's file for the instance of a name. Paths in it are relative to its folder.
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

// Parse checks a file's text. Its paths are relative to a folder. The error joins an *Error for each fault.
func Parse(text, name, folder string) (*File, error) {
	lists, err := sexpr.Parse(text)
	if err != nil {
		var syntax *sexpr.SyntaxError
		if errors.As(err, &syntax) {
			return nil, &Error{Position: syntax.Position, Reason: syntax.Reason}
		}
		return nil, err
	}
	var d decoder
	file := &File{}
	root := &sexpr.Node{
		Position: sexpr.Position{Line: 1, Column: 1},
		IsList:   true,
		List:     []*sexpr.Node{{Word: "file"}},
	}
	d.section(root, lists, section{
		"socket":   {decode: d.text(&file.SocketPath)},
		"idle":     {decode: d.keeping(&file.Idle)},
		"start":    {decode: at(&file.startPosition, d.start(&file.ReadinessHold))},
		"links":    {decode: at(&file.linksPosition, d.links(&file.Connections))},
		"snapshot": {decode: d.snapshot(file, folder)},
		"fleet":    {decode: d.cluster(&file.Cluster, name, folder)},
	})
	file.SocketPath = resolve(folder, file.SocketPath)
	if len(file.SocketPath) > maxSocketPathLength {
		d.errors.addf(root.Position, "the socket's path has %d bytes, %d can be",
			len(file.SocketPath), maxSocketPathLength)
	}
	return file, d.errors.err()
}

// resolve returns a path that the file has relative to a folder.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// Limits of the values of (start …).
const (
	minCallRate     = 0.1 // a second
	maxCallRate     = 1e6
	minHoldDuration = time.Second
	maxHoldDuration = time.Minute
)

// start decodes how routers begin together.
func (d *decoder) start(into *startup.ReadinessHold) decodeFunc {
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
	minConnectRate         = 0.1 // a second
	maxConnectRate         = 1e6
)

// links decodes how many connections caches take.
func (d *decoder) links(into **connpool.Config) decodeFunc {
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

// snapshot decodes where and how often what the router has learned is stored.
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

// SharedSettings returns what a file says of settings that instances share. routers is the deployment's number,
// 0 where it is not known.
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

// CheckConnections checks whether connections can be kept within what caches take, with so many routers in the
// location.
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

// CheckReadinessHold checks whether what the file says of a start is enough for a deployment's routers.
func (f *File) CheckReadinessHold(routers int) error {
	if err := f.ReadinessHold.Check(routers); err != nil {
		return &Error{Position: f.startPosition, Reason: err.Error()}
	}
	return nil
}
