package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// wallReadings are the functions and methods that convert between a time.Time and a number. Such a number is a wall
// clock reading, and the difference of two readings is wrong if the wall clock is set between them.
var wallReadings = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// readsWall returns the selectors in a file that are in wallReadings, whatever their package or receiver.
func readsWall(file *ast.File) (found []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && slices.Contains(wallReadings, s.Sel.Name) {
			found = append(found, s.Sel.Name)
		}
		return true
	})
	return found
}

// Programs that serve clients must read the wall clock only through this package, so that setting it does not move
// any deadline. The emulator and testkit are exempt because they act as other machines, and experiments because they
// serve no clients.
func TestWallClockIsReadHereOnly(t *testing.T) {
	const root = "../.."
	exempt := []string{"internal/experiment", "internal/emulator", "internal/testkit", "internal/clock"}
	seen := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		switch {
		case entry.IsDir() && (slices.Contains(exempt, name) || strings.HasPrefix(entry.Name(), ".") && name != "."):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		seen++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if found := readsWall(file); found != nil {
			t.Errorf("%s reads the wall clock without package clock: %v", name, found)
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Errorf("%d files checked, error %v, want at least 50 files and no error", seen, err)
	}
}

func TestReadsWall(t *testing.T) {
	for source, want := range map[string]int{
		"now := time.Now().UnixNano()":              1,
		"timer.Reset(time.Until(time.Unix(0, at)))": 1,
		"spent := time.Since(begun)":                0,
		"conn.SetDeadline(time.Now().Add(second))":  0,
		"at := t.UnixMilli() + t.Unix()":            2,
	} {
		inFunction := "package x\nfunc f() {\n" + source + "\n}\n"
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", inFunction, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if found := readsWall(file); len(found) != want {
			t.Errorf("%s: found %v, want %d calls", source, found, want)
		}
	}
}
