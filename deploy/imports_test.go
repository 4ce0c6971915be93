package deploy

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// modulePrefix is the prefix of the import paths of this module.
const modulePrefix = "tealpath/"

// layers lists the directories of each layer in docs/architecture.md, the lowest layer first. An entry includes the
// directories below it, unless they have an entry of their own. A package may import packages of lower layers. Imports
// within a layer are allowed only if they are in sameLayer.
var layers = [][]string{
	{
		"internal/clock", "internal/logevent", "internal/neterr", "internal/protocol", "internal/simulator/wire",
		"internal/timerqueue", "internal/cluster/paxos", "internal/cluster/timing",
	},
	{
		"control", "internal/compatibility", "internal/connpool", "internal/downstream/idle", "internal/lifecycle",
		"internal/cluster/lease", "internal/cluster/membership", "internal/cluster/probe", "internal/cluster/sharedconfig",
	},
	{"internal/router", "internal/cluster"},
	{
		"internal/adminsocket", "internal/config", "internal/operatorconfig", "internal/snapshot", "internal/simulator",
		"internal/cluster/peer", "internal/discovery", "internal/downstream", "internal/upstream",
	},
	{"internal/server"},
	{"cmd/tealpath", "cmd/wirehost", "deploy"},
}

// sameLayer lists the allowed imports between directories of the same layer: importing and imported directory.
var sameLayer = [][2]string{
	{"internal/compatibility", "internal/cluster/lease"},
	{"internal/cluster/probe", "internal/cluster/lease"},
	{"internal/operatorconfig", "internal/cluster/peer"},
	{"internal/simulator", "internal/config"},
}

var (
	// testImports lists the directories that only tests and the directories in testImporters may import.
	testImports = []string{
		"internal/emulator", "internal/experiment", "internal/cluster/recordtest", "internal/testkit",
	}
	// testImporters lists the directories whose imports are not restricted. They are not part of the router.
	testImporters = []string{
		"internal/emulator", "internal/experiment", "internal/testkit", "cmd/tealexperiment", "cmd/teallab",
	}
)

// pure lists the directories whose packages do no I/O, do not wait and do not read a clock. They get the time as an
// argument and return effects that the caller performs.
var pure = []string{
	"control", "internal/compatibility", "internal/connpool", "internal/downstream/idle", "internal/lifecycle",
	"internal/cluster/lease", "internal/cluster/membership", "internal/cluster/probe", "internal/cluster/sharedconfig",
	"internal/router", "internal/cluster", "internal/timerqueue", "internal/protocol", "internal/logevent",
	"internal/cluster/paxos", "internal/cluster/timing",
}

// impure lists the packages that no pure package may import, nor any package below them.
var impure = []string{"net", "os", "syscall", "context", "sync", "log", "runtime", "crypto/rand", "golang.org/x/sys"}

// pureSelectors maps the import path of a package to the names from it that pure packages may use. Its other names
// read a clock or use a shared source of random numbers.
var pureSelectors = map[string][]string{
	"time":         {"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"},
	"math/rand/v2": {"New", "NewPCG", "Rand", "PCG"},
}

// goPackage contains the fields of a package that go list -json prints.
type goPackage struct {
	Dir        string
	ImportPath string
	GoFiles    []string
	Imports    []string
}

// within reports whether a directory is one of those listed, or below one of them.
func within(directory string, listed []string) bool { return enclosing(directory, listed) != "" }

// enclosing returns the longest listed directory that contains a directory or is equal to it. It returns "" if there is
// none.
func enclosing(directory string, listed []string) string {
	longest := ""
	for _, parent := range listed {
		isWithin := directory == parent || strings.HasPrefix(directory, parent+"/")
		if isWithin && len(parent) > len(longest) {
			longest = parent
		}
	}
	return longest
}

// findLayer returns the entry of layers that contains a directory, and the index of its layer. The index is -1 if there
// is no such entry.
func findLayer(directory string) (string, int) {
	parent := enclosing(directory, slices.Concat(layers...))
	return parent, slices.IndexFunc(layers, func(layer []string) bool { return slices.Contains(layer, parent) })
}

// checkImport returns an error if an import between directories of this module is not allowed.
func checkImport(from, to string) error {
	if within(from, testImporters) {
		return nil
	}
	if within(to, testImports) {
		return fmt.Errorf("only tests and %v may import %s", testImporters, to)
	}
	fromParent, fromLayer := findLayer(from)
	toParent, toLayer := findLayer(to)
	switch {
	case fromLayer < 0 || toLayer < 0:
		return fmt.Errorf("layers contains no directory for %s (layer %d) or %s (layer %d)", from, fromLayer, to, toLayer)
	case toLayer > fromLayer:
		return fmt.Errorf("layer %d may not import the higher layer %d", fromLayer, toLayer)
	case toLayer == fromLayer && toParent != fromParent && !slices.Contains(sameLayer, [2]string{fromParent, toParent}):
		return fmt.Errorf("the import within layer %d is not in sameLayer", fromLayer)
	case from == "control" && !slices.Contains([]string{"internal/timerqueue", "internal/logevent"}, to):
		return errors.New("control may import only internal/timerqueue and internal/logevent of this module")
	}
	return nil
}

// isPure reports whether pure contains the package's entry in layers. A subdirectory of a pure directory is therefore
// not pure if it has its own entry in layers and none in pure.
func isPure(directory string) bool {
	parent, _ := findLayer(directory)
	return slices.Contains(pure, parent)
}

// checkPureImport returns an error if a pure package may not import a package from outside of this module.
func checkPureImport(path string) error {
	if within(path, impure) {
		return fmt.Errorf("a pure package may not import %v or packages below them", impure)
	}
	return nil
}

// impureSelectors returns the forbidden names that a file uses: names from the packages in pureSelectors that are not
// listed there for their package.
func impureSelectors(file *ast.File) (found []string) {
	allowedNames := map[string][]string{} // allowed names of each package, by its name in the file
	for _, spec := range file.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		if allowed, ok := pureSelectors[path]; ok {
			name := filepath.Base(strings.TrimSuffix(path, "/v2"))
			if spec.Name != nil {
				name = spec.Name.Name
			}
			allowedNames[name] = allowed
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if !ok {
			return true
		}
		if allowed, ok := allowedNames[name.Name]; ok && !slices.Contains(allowed, selector.Sel.Name) {
			found = append(found, name.Name+"."+selector.Sel.Name)
		}
		return true
	})
	return found
}

// goList runs go list in the module's root and returns its output.
func goList(t *testing.T, arguments ...string) []byte {
	t.Helper()
	command := exec.Command("go", append([]string{"list"}, arguments...)...)
	command.Dir = ".."
	output, err := command.Output()
	if err != nil {
		t.Fatalf("go list %v: %v", arguments, err)
	}
	return output
}

// goPackages returns all packages of this module.
func goPackages(t *testing.T) (packages []goPackage) {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(string(goList(t, "-json=Dir,ImportPath,GoFiles,Imports", "./..."))))
	for {
		var next goPackage
		if err := decoder.Decode(&next); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, next)
	}
}

// violations returns a description of each import of a package that is not allowed.
func violations(p goPackage) (found []string) {
	from := strings.TrimPrefix(p.ImportPath, modulePrefix)
	for _, path := range p.Imports {
		var err error
		if to, inModule := strings.CutPrefix(path, modulePrefix); inModule {
			err = checkImport(from, to)
		} else if isPure(from) {
			err = checkPureImport(path)
		}
		if err == nil && from == "control" && strings.Contains(path, ".") {
			err = errors.New("outside of this module, control may import only the standard library")
		}
		if err != nil {
			found = append(found, fmt.Sprintf("%s imports %s: %v", from, path, err))
		}
	}
	return found
}

// No package imports one of a higher layer, or one of its own layer that sameLayer does not list. Otherwise lower
// layers could no longer be used and tested without the higher ones. The packages in testImports must stay out of the
// router, and control may import only two packages of this module.
func TestImportsRespectLayers(t *testing.T) {
	packages := goPackages(t)
	if len(packages) < 30 {
		t.Errorf("go list found %d packages, want at least 30", len(packages))
	}
	for _, p := range packages {
		for _, violation := range violations(p) {
			t.Error(violation)
		}
	}
}

// Decisions and reducers get the time as an argument and use a seeded source of random numbers, so that the simulator
// and tests can replay them.
func TestPurePackagesReadNoClock(t *testing.T) {
	seen := 0
	for _, p := range goPackages(t) {
		if !isPure(strings.TrimPrefix(p.ImportPath, modulePrefix)) {
			continue
		}
		seen++
		for _, name := range p.GoFiles {
			path := filepath.Join(p.Dir, name)
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			if found := impureSelectors(file); found != nil {
				t.Errorf("%s/%s uses %v, which pure packages may not use", p.ImportPath, name, found)
			}
		}
	}
	if seen < len(pure) {
		t.Errorf("%d pure packages found, but pure lists %d directories", seen, len(pure))
	}
}

// The router links no emulators or experiments, no chart library, no RPC framework and no store client.
func TestRouterLinksNoExperiments(t *testing.T) {
	unwanted := []string{
		"grpc", "plot", "redis", "hdrhistogram", modulePrefix + "internal/emulator", modulePrefix + "internal/experiment",
	}
	linked := strings.Fields(string(goList(t, "-deps", "./cmd/tealpath")))
	if !slices.Contains(linked, modulePrefix+"internal/server") {
		t.Fatalf("internal/server is not among the %d dependencies that go list found", len(linked))
	}
	for _, path := range linked {
		for _, part := range unwanted {
			if strings.Contains(strings.ToLower(path), part) {
				t.Errorf("tealpath links %s, which contains %q", path, part)
			}
		}
	}
}

func TestImportRules(t *testing.T) {
	for name, c := range map[string]struct {
		from, imported string
		allowed        bool
	}{
		"the reducer imports decisions":                         {"internal/router", "tealpath/control", true},
		"decisions import no reducer":                           {"control", "tealpath/internal/router", false},
		"decisions import the timer queue":                      {"control", "tealpath/internal/timerqueue", true},
		"decisions import nothing else of this module":          {"control", "tealpath/internal/clock", false},
		"decisions import no third-party package":               {"control", "github.com/cespare/xxhash/v2", false},
		"client connections do not import the server":           {"internal/downstream", "tealpath/internal/server", false},
		"client connections do not import endpoint connections": {"internal/downstream", "tealpath/internal/upstream", false},
		"a package imports its subpackage": {
			"internal/downstream", "tealpath/internal/downstream/poller", true,
		},
		"an import in sameLayer": {
			"internal/operatorconfig", "tealpath/internal/cluster/peer", true,
		},
		"the reverse of an import in sameLayer": {
			"internal/cluster/peer", "tealpath/internal/operatorconfig", false,
		},
		"the server imports no emulator": {
			"internal/server", "tealpath/internal/emulator/cache", false,
		},
		"the router imports no experiment":                  {"cmd/tealpath", "tealpath/internal/experiment", false},
		"the server imports no test helper":                 {"internal/server", "tealpath/internal/testkit", false},
		"experiments import the server":                     {"internal/experiment", "tealpath/internal/server", true},
		"a package without a layer":                         {"internal/server", "tealpath/internal/unknown", false},
		"the reducer does not import net":                   {"internal/router", "net", false},
		"the reducer does not import sync":                  {"internal/router", "sync/atomic", false},
		"the cluster's reducer does not import os":          {"internal/cluster", "os", false},
		"connections between instances import net":          {"internal/cluster/peer", "net", true},
		"leases make no system calls":                       {"internal/cluster/lease", "golang.org/x/sys/unix", false},
		"the table of idle connections does not import net": {"internal/downstream/idle", "net", false},
		"client connections import net":                     {"internal/downstream", "net", true},
	} {
		t.Run(name, func(t *testing.T) {
			found := violations(goPackage{ImportPath: modulePrefix + c.from, Imports: []string{c.imported}})
			if (found == nil) != c.allowed {
				t.Errorf("violations %q, want none: %v", found, c.allowed)
			}
		})
	}
}

func TestImpureSelectors(t *testing.T) {
	for source, want := range map[string]int{
		`import "time"; func f() { time.Sleep(time.Second) }`:                    1,
		`import clock "time"; var now = clock.Now()`:                             1,
		`import "time"; var wait = 3 * time.Millisecond`:                         0,
		`import "math/rand/v2"; var drawn = rand.IntN(3)`:                        1,
		`import "math/rand/v2"; var drawn = rand.New(rand.NewPCG(1, 2)).IntN(3)`: 0,
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+source+"\n", parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if found := impureSelectors(file); len(found) != want {
			t.Errorf("%s: found %v, want %d names", source, found, want)
		}
	}
}
