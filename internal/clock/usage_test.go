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

// wallReadings are the calls by which a time.Time becomes a number, or is made of one: what is left is the wall
// clock, and a span between two such numbers goes wrong when that steps.
var wallReadings = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// readsWall tells by name which of those calls a file makes.
func readsWall(file *ast.File) (found []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && slices.Contains(wallReadings, s.Sel.Name) {
			found = append(found, s.Sel.Name)
		}
		return true
	})
	return found
}

// The programs that serve read no wall clock but through this package: a step of it ended all that was in
// flight. The stand-ins play other machines, and experiments and the simulator's adapter serve nobody.
func TestWallClockIsReadHereOnly(t *testing.T) {
	const root = "../.."
	exempt := []string{"internal/experiment", "internal/emulator", "internal/clock"}
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
			t.Errorf("%s: %v", name, found)
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Errorf("%d files, %v", seen, err)
	}
}

func TestReadsWall(t *testing.T) {
	for source, want := range map[string]int{
		"now := time.Now().UnixNano()": 1, "timer.Reset(time.Until(time.Unix(0, at)))": 1, "spent := time.Since(begun)": 0,
		"conn.SetDeadline(time.Now().Add(second))": 0, "at := t.UnixMilli() + t.Unix()": 2,
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\nfunc f() {\n"+source+"\n}\n", parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if found := readsWall(file); len(found) != want {
			t.Errorf("%s: %v", source, found)
		}
	}
}
