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

const module = "tealpath/"

// layers are the packages of docs/architecture.md, lowest first. A directory stands for itself and for those below it,
// unless they are listed themselves. A package may import packages of lower layers, and of its own layer only what
// sameLayer names.
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
		"internal/adminsocket", "internal/config", "internal/operatorconfig", "internal/snapshot", "internal/simulator", "internal/cluster/peer",
		"internal/discovery", "internal/downstream", "internal/upstream",
	},
	{"internal/server"},
	{"cmd/tealpath", "cmd/wirehost", "deploy"},
}

// sameLayer are the imports between directories of one layer.
var sameLayer = [][2]string{
	{"internal/compatibility", "internal/cluster/lease"},
	{"internal/cluster/probe", "internal/cluster/lease"},
	{"internal/operatorconfig", "internal/cluster/peer"},
	{"internal/simulator", "internal/config"},
}

// forTests are the directories that only tests and the experiments' commands may import.
var (
	forTests = []string{
		"internal/emulator", "internal/experiment", "internal/cluster/recordtest", "internal/testkit",
	}
	testsOnly = []string{
		"internal/emulator", "internal/experiment", "internal/testkit", "cmd/tealexperiment", "cmd/teallab",
	}
)

// pure are the directories that open nothing, wait for nothing and read no clock: times come in as arguments, effects
// go out.
var pure = []string{
	"control", "internal/compatibility", "internal/connpool", "internal/downstream/idle", "internal/lifecycle",
	"internal/cluster/lease", "internal/cluster/membership", "internal/cluster/probe", "internal/cluster/sharedconfig",
	"internal/router", "internal/cluster", "internal/timerqueue", "internal/protocol", "internal/logevent",
	"internal/cluster/paxos", "internal/cluster/timing",
}

// impure are the imports that no pure package has; the packages below them count, too.
var impure = []string{"net", "os", "syscall", "context", "sync", "log", "runtime", "crypto/rand", "golang.org/x/sys"}

// pureSelectors are what pure packages may use of packages that also read a clock or draw from a shared source.
var pureSelectors = map[string][]string{
	"time":         {"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"},
	"math/rand/v2": {"New", "NewPCG", "Rand", "PCG"},
}

// goPackage is what `go list -json` says of one package.
type goPackage struct {
	Dir        string
	ImportPath string
	GoFiles    []string
	Imports    []string
}

// within tells whether a directory is one of those listed, or below one.
func within(directory string, listed []string) bool { return enclosing(directory, listed) != "" }

// enclosing is the longest listed directory that a directory is or is below; empty if there is none.
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

// placed is the listed directory of a package and its layer; -1 if it has none.
func placed(directory string) (string, int) {
	parent := enclosing(directory, slices.Concat(layers...))
	return parent, slices.IndexFunc(layers, func(layer []string) bool { return slices.Contains(layer, parent) })
}

// checkImport says what is wrong with one import between directories of this module; nil is nothing.
func checkImport(from, to string) error {
	if within(from, testsOnly) {
		return nil
	}
	if within(to, forTests) {
		return errors.New("only tests and experiments may import it")
	}
	fromParent, fromLayer := placed(from)
	toParent, toLayer := placed(to)
	switch {
	case fromLayer < 0 || toLayer < 0:
		return errors.New("a package has no layer yet")
	case toLayer > fromLayer:
		return errors.New("the import goes upward")
	case toLayer == fromLayer && toParent != fromParent && !slices.Contains(sameLayer, [2]string{fromParent, toParent}):
		return errors.New("the import stays in its layer, and is not listed")
	case from == "control" && !slices.Contains([]string{"internal/timerqueue", "internal/logevent"}, to):
		return errors.New("control has two imports of this module at most")
	}
	return nil
}

// isPure tells whether a package must do no I/O. A subdirectory of a listed directory counts by itself if it has a layer
// of its own.
func isPure(directory string) bool {
	parent, _ := placed(directory)
	return slices.Contains(pure, parent)
}

// checkPureImport says what is wrong with an import of a pure package that is not of this module.
func checkPureImport(path string) error {
	if within(path, impure) {
		return errors.New("a pure package does no I/O")
	}
	return nil
}

// impureSelectors names what a file uses of the packages in pureSelectors beyond what those list.
func impureSelectors(file *ast.File) (found []string) {
	listed := map[string][]string{}
	for _, spec := range file.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		if allowed, ok := pureSelectors[path]; ok {
			name := filepath.Base(strings.TrimSuffix(path, "/v2"))
			if spec.Name != nil {
				name = spec.Name.Name
			}
			listed[name] = allowed
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
		if allowed, ok := listed[name.Name]; ok && !slices.Contains(allowed, selector.Sel.Name) {
			found = append(found, name.Name+"."+selector.Sel.Name)
		}
		return true
	})
	return found
}

// list runs `go list` from the module's root.
func list(t *testing.T, arguments ...string) []byte {
	t.Helper()
	command := exec.Command("go", append([]string{"list"}, arguments...)...)
	command.Dir = ".."
	output, err := command.Output()
	if err != nil {
		t.Fatalf("go list %v: %v", arguments, err)
	}
	return output
}

// goPackages are all packages of this module.
func goPackages(t *testing.T) (packages []goPackage) {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(string(list(t, "-json=Dir,ImportPath,GoFiles,Imports", "./..."))))
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

// violations are the imports of a package that the layers or its purity forbid.
func violations(p goPackage) (found []string) {
	from := strings.TrimPrefix(p.ImportPath, module)
	for _, path := range p.Imports {
		var err error
		if to, ours := strings.CutPrefix(path, module); ours {
			err = checkImport(from, to)
		} else if isPure(from) {
			err = checkPureImport(path)
		}
		if err == nil && from == "control" && strings.Contains(path, ".") {
			err = errors.New("control has the standard library only")
		}
		if err != nil {
			found = append(found, fmt.Sprintf("%s imports %s: %v", from, path, err))
		}
	}
	return found
}

func TestImportsGoDownward(t *testing.T) {
	packages := goPackages(t)
	if len(packages) < 30 {
		t.Errorf("%d packages", len(packages))
	}
	for _, p := range packages {
		for _, violation := range violations(p) {
			t.Error(violation)
		}
	}
}

// Decisions and reducers take the time as an argument and draw from a seeded source, so that the simulator and tests
// can replay them.
func TestPurePackagesReadNoClock(t *testing.T) {
	seen := 0
	for _, p := range goPackages(t) {
		if !isPure(strings.TrimPrefix(p.ImportPath, module)) {
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
				t.Errorf("%s/%s: %v", p.ImportPath, name, found)
			}
		}
	}
	if seen < len(pure) {
		t.Errorf("%d pure packages, %d are listed", seen, len(pure))
	}
}

// The router links nothing that draws charts, and no RPC framework or store client.
func TestRouterLinksNothingOfTheExperiments(t *testing.T) {
	unwanted := []string{
		"grpc", "plot", "redis", "hdrhistogram", module + "internal/emulator", module + "internal/experiment",
	}
	linked := strings.Fields(string(list(t, "-deps", "./cmd/tealpath")))
	if !slices.Contains(linked, module+"internal/server") {
		t.Fatal("the router's server is not among its dependencies")
	}
	for _, path := range linked {
		for _, part := range unwanted {
			if strings.Contains(strings.ToLower(path), part) {
				t.Errorf("tealpath links %s", path)
			}
		}
	}
}

func TestImportRules(t *testing.T) {
	for name, c := range map[string]struct {
		from, imported string
		allowed        bool
	}{
		"the reducer asks for decisions":            {"internal/router", "tealpath/control", true},
		"decisions know no reducer":                 {"control", "tealpath/internal/router", false},
		"decisions have a timer queue":              {"control", "tealpath/internal/timerqueue", true},
		"decisions know no other leaf":              {"control", "tealpath/internal/clock", false},
		"decisions have no library":                 {"control", "github.com/cespare/xxhash/v2", false},
		"connections do not know the process":       {"internal/downstream", "tealpath/internal/server", false},
		"client and endpoint connections are apart": {"internal/downstream", "tealpath/internal/upstream", false},
		"a package and its part":                    {"internal/downstream", "tealpath/internal/downstream/poller", true},
		"a listed import in one layer":              {"internal/operatorconfig", "tealpath/internal/cluster/peer", true},
		"the same, turned round":                    {"internal/cluster/peer", "tealpath/internal/operatorconfig", false},
		"what serves knows no emulator":             {"internal/server", "tealpath/internal/emulator/cache", false},
		"what serves knows no experiment":           {"cmd/tealpath", "tealpath/internal/experiment", false},
		"what serves knows no test helper":          {"internal/server", "tealpath/internal/testkit", false},
		"experiments know what serves":              {"internal/experiment", "tealpath/internal/server", true},
		"a package without a layer":                 {"internal/server", "tealpath/internal/unknown", false},
		"the reducer opens no socket":               {"internal/router", "net", false},
		"the reducer has no lock":                   {"internal/router", "sync/atomic", false},
		"the cluster's reducer opens no file":       {"internal/cluster", "os", false},
		"links among instances are sockets":         {"internal/cluster/peer", "net", true},
		"leases ask no system":                      {"internal/cluster/lease", "golang.org/x/sys/unix", false},
		"the table of idle connections has no I/O":  {"internal/downstream/idle", "net", false},
		"client connections have":                   {"internal/downstream", "net", true},
	} {
		t.Run(name, func(t *testing.T) {
			found := violations(goPackage{ImportPath: module + c.from, Imports: []string{c.imported}})
			if (found == nil) != c.allowed {
				t.Errorf("allowed: %v, found %q", c.allowed, found)
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
			t.Errorf("%s: %v", source, found)
		}
	}
}
