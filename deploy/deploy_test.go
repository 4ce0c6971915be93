// Package deploy holds the deploy file; its test keeps that within what the platform's bench starts.
package deploy

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// field reads one value of the deploy file: name = "value".
func field(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		t.Fatalf("%s is not in the deploy file", name)
	}
	return string(found[1])
}

// unfit says what of a build and a run line the full fleet's bench could not start: it loads a library of its own into
// the process, which takes one linked dynamically, and follows one process.
func unfit(build, run string) (why []string) {
	if !strings.Contains(build, "CGO_ENABLED=1") || !strings.Contains(build, "-ldflags=-linkmode=external") ||
		strings.Contains(build, "-static") {
		why = append(why, "build does not link against the C library")
	}
	if !regexp.MustCompile(`^exec bin/[a-z]+( [a-z]+)*$`).MatchString(run) {
		why = append(why, "run does not end by exec in one process")
	}
	return why
}

func TestDeployFile(t *testing.T) {
	if why := unfit(field(t, "build"), field(t, "run")); why != nil {
		t.Error(why)
	}
	if sim := field(t, "sim"); !strings.HasPrefix(sim, "exec bin/wirehost") {
		t.Errorf("sim is %q", sim)
	}
	for _, folder := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(nodes(t), -1) {
		if _, err := os.Stat(filepath.Join("..", folder[1])); err != nil {
			t.Errorf("node: %v", err)
		}
	}
	for _, c := range [][2]string{
		{"go build -o bin/ ./cmd/...", "exec bin/tealpath serve"},
		{"CGO_ENABLED=0 go build -ldflags=-linkmode=external ./...", "exec bin/tealpath serve"},
		{"CGO_ENABLED=1 go build -ldflags=-linkmode=external ./...", "bin/tealpath serve"},
		{"CGO_ENABLED=1 go build -ldflags=-linkmode=external ./...", "exec bin/tealpath serve & exec bin/other"},
	} {
		if unfit(c[0], c[1]) == nil {
			t.Errorf("taken for fit: %q", c)
		}
	}
}

func nodes(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(regexp.MustCompile(`(?m)^node\s*=.*$`).Find(raw))
}

// Built as the deploy file says, the router names the C library's loader. Without it the bench's library is never loaded.
func TestRouterIsLinkedDynamically(t *testing.T) {
	out := filepath.Join(t.TempDir(), "tealpath")
	flags := regexp.MustCompile(`-ldflags=\S+`).FindString(field(t, "build"))
	build := exec.Command("go", "build", flags, "-o", out, "../cmd/tealpath")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if said, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, said)
	}
	file, err := elf.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	})
	if file.Section(".interp") == nil {
		t.Error("no ELF interpreter")
	}
	libraries, err := file.ImportedLibraries()
	if err != nil || !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Errorf("libraries %v, %v", libraries, err)
	}
}
