package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// programRun is what came of a run of the program.
type programRun struct {
	code           int
	stdout, stderr string
}

// runProgram runs the program without a configuration in a directory of its own.
func runProgram(t *testing.T, binary string, arguments ...string) programRun {
	t.Helper()
	var stdout, stderr strings.Builder
	command := exec.Command(binary, arguments...)
	command.Dir = t.TempDir()
	command.Env = append(os.Environ(), "LB_CONFIG=", "LB_NAME=a", "LB_LISTEN=")
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return programRun{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// Each command prints its help with every flag, and ends with 0.
func TestHelp(t *testing.T) {
	binary := buildProgram(t)
	for _, arguments := range [][]string{nil, {"--help"}, {"help"}} {
		help := runProgram(t, binary, arguments...)
		if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, app().Usage) {
			t.Errorf("%v: %+v", arguments, help)
		}
		for _, command := range commands() {
			if !strings.Contains(help.stdout, command.Usage) {
				t.Errorf("%v does not name %s", arguments, command.Name)
			}
		}
	}
	for _, command := range commands() {
		t.Run(command.Name, func(t *testing.T) {
			help := runProgram(t, binary, command.Name, "--help")
			if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, command.Usage) {
				t.Errorf("%+v", help)
			}
			for _, flag := range command.Flags {
				documented, ok := flag.(cli.DocGenerationFlag)
				if !ok || documented.GetUsage() == "" {
					t.Errorf("%v has no help text", flag.Names())
				}
				if !strings.Contains(help.stdout, "--"+flag.Names()[0]) {
					t.Errorf("%v is not in the help", flag.Names())
				}
			}
		})
	}
}

// The names of commands and flags are what scripts and pages rely on.
func TestCommandsAndFlags(t *testing.T) {
	want := map[string]string{
		"serve":       "operator",
		"check":       "operator",
		"duties":      "operator socket json",
		"diff":        "json",
		"members":     "operator socket json",
		"connections": "operator socket",
		"version":     "",
	}
	if got := commands(); len(got) != len(want) {
		t.Errorf("%d commands, want %d", len(got), len(want))
	}
	for _, command := range commands() {
		var names []string
		for _, flag := range command.Flags {
			names = append(names, flag.Names()...)
		}
		if got := strings.Join(names, " "); got != want[command.Name] {
			t.Errorf("%s has %q, want %q", command.Name, got, want[command.Name])
		}
	}
}

// The codes are those of README: 2 for the command line or a file at fault, 1 for an instance that did not
// answer and for files that may not run side by side. Errors go to standard error.
func TestExitCodes(t *testing.T) {
	binary := buildProgram(t)
	missing := filepath.Join(t.TempDir(), "missing")
	tests := []struct {
		arguments []string
		code      int
		stderr    string // a part of it
	}{
		{[]string{"nonsense"}, exitUsage, `unknown command "nonsense"`},
		{[]string{"--nonsense"}, exitUsage, "nonsense"},
		{[]string{"serve", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"serve", "word"}, exitUsage, `unexpected "word"`},
		{[]string{"serve"}, exitUsage, "LB_CONFIG"},
		{[]string{"check", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"check", missing}, exitUsage, missing},
		{[]string{"check", "--operator", missing}, exitUsage, missing},
		{[]string{"duties", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"duties"}, exitUsage, "name the socket by --socket"},
		{[]string{"duties", "--socket", missing}, exitFailed, missing},
		{[]string{"diff", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"diff", missing}, exitUsage, "diff takes two operator's files"},
		{[]string{"diff", missing, missing}, exitUsage, missing},
		{[]string{"members", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"members", "--socket", missing}, exitFailed, missing},
		{[]string{"connections", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"connections", "--json"}, exitUsage, "json"},
		{[]string{"connections", "--socket", missing}, exitFailed, missing},
		{[]string{"version", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"version", "word"}, exitUsage, `unexpected "word"`},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.arguments, " "), func(t *testing.T) {
			t.Parallel()
			got := runProgram(t, binary, test.arguments...)
			if got.code != test.code || !strings.Contains(got.stderr, test.stderr) {
				t.Errorf("%+v, want code %d and %q", got, test.code, test.stderr)
			}
			if !strings.HasPrefix(got.stderr, "tealpath: ") || got.stdout != "" {
				t.Errorf("the error is not on standard error alone: %+v", got)
			}
		})
	}
}
