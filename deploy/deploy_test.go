// Package deploy contains the deploy file and examples of configuration files. Its tests check that the platform's
// bench can run what the deploy file builds, that an example is valid, and that packages import only what they may.
package deploy

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// field returns the value of name in the deploy file, from a line name = "value".
func field(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		t.Fatalf("the deploy file has no line %s = \"…\"", name)
	}
	return string(found[1])
}

// deployErrors returns the reasons why the bench of the full fleet could not run a program with these build and run
// lines. The bench preloads a library into the process, so the program must be linked dynamically, and it observes one
// process only.
func deployErrors(build, run string) (reasons []string) {
	if !strings.Contains(build, "CGO_ENABLED=1") || !strings.Contains(build, "-ldflags=-linkmode=external") ||
		strings.Contains(build, "-static") {
		reasons = append(reasons, fmt.Sprintf("build %q does not link dynamically against the C library", build))
	}
	if !regexp.MustCompile(`^exec bin/[a-z]+( [a-z]+)*$`).MatchString(run) {
		reasons = append(reasons, fmt.Sprintf("run %q is not a single exec of a program in bin/", run))
	}
	return reasons
}

func TestDeployFile(t *testing.T) {
	if reasons := deployErrors(field(t, "build"), field(t, "run")); reasons != nil {
		t.Error(reasons)
	}
	if sim := field(t, "sim"); !strings.HasPrefix(sim, "exec bin/wirehost") {
		t.Errorf("sim is %q, want a command that begins with exec bin/wirehost", sim)
	}
	for _, folder := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(nodeLine(t), -1) {
		if _, err := os.Stat(filepath.Join("..", folder[1])); err != nil {
			t.Errorf("node names a folder that does not exist: %v", err)
		}
	}
	for _, c := range [][2]string{
		{"go build -o bin/ ./cmd/...", "exec bin/tealpath serve"},
		{"CGO_ENABLED=0 go build -ldflags=-linkmode=external ./...", "exec bin/tealpath serve"},
		{"CGO_ENABLED=1 go build -ldflags=-linkmode=external ./...", "bin/tealpath serve"},
		{"CGO_ENABLED=1 go build -ldflags=-linkmode=external ./...", "exec bin/tealpath serve & exec bin/other"},
	} {
		if deployErrors(c[0], c[1]) == nil {
			t.Errorf("build %q and run %q are accepted, want an error", c[0], c[1])
		}
	}
}

// nodeLine returns the line node = … of the deploy file.
func nodeLine(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(regexp.MustCompile(`(?m)^node\s*=.*$`).Find(raw))
}

// A router that is built with the flags of the deploy file is linked dynamically. Otherwise the dynamic loader would
// not run, and the bench could not preload its library.
func TestRouterIsLinkedDynamically(t *testing.T) {
	out := filepath.Join(t.TempDir(), "tealpath")
	flags := regexp.MustCompile(`-ldflags=\S+`).FindString(field(t, "build"))
	build := exec.Command("go", "build", flags, "-o", out, "../cmd/tealpath")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
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
		t.Errorf("%s has no ELF interpreter", out)
	}
	libraries, err := file.ImportedLibraries()
	if err != nil || !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Errorf("imported libraries %v (%v), want libc.so among them", libraries, err)
	}
}
