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

// programRun is the exit code and the output of one run of the program.
type programRun struct {
	code           int
	stdout, stderr string
}

// runProgram runs the program without a configuration in an empty directory, and returns its exit code and output.
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

// The help of each command lists all of its flags, and the exit code is 0.
func TestHelp(t *testing.T) {
	binary := buildProgram(t)
	for _, arguments := range [][]string{nil, {"--help"}, {"help"}} {
		help := runProgram(t, binary, arguments...)
		if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, app().Usage) {
			t.Errorf("help of arguments %v: %+v, want code 0 and the usage on standard output", arguments, help)
		}
		for _, command := range commands() {
			if !strings.Contains(help.stdout, command.Usage) {
				t.Errorf("help of arguments %v does not contain the usage of %s", arguments, command.Name)
			}
		}
	}
	for _, command := range commands() {
		t.Run(command.Name, func(t *testing.T) {
			help := runProgram(t, binary, command.Name, "--help")
			if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, command.Usage) {
				t.Errorf("help: %+v, want code 0 and the usage on standard output", help)
			}
			for _, flag := range command.Flags {
				documented, ok := flag.(cli.DocGenerationFlag)
				if !ok || documented.GetUsage() == "" {
					t.Errorf("flag %v has no usage text", flag.Names())
				}
				if !strings.Contains(help.stdout, "--"+flag.Names()[0]) {
					t.Errorf("flag %v is not in the help", flag.Names())
				}
			}
		})
	}
}

// Scripts and documentation depend on the names of commands and flags.
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
			t.Errorf("%s has the flags %q, want %q", command.Name, got, want[command.Name])
		}
	}
}

// The exit codes are those that README documents: 2 for an invalid command line or file, 1 for an instance that does
// not answer and for files that may not run side by side. Errors are written to standard error.
func TestExitCodes(t *testing.T) {
	binary := buildProgram(t)
	missing := filepath.Join(t.TempDir(), "missing")
	tests := []struct {
		arguments []string
		code      int
		stderr    string // part of standard error
	}{
		{[]string{"nonsense"}, exitUsage, `unknown command "nonsense"`},
		{[]string{"--nonsense"}, exitUsage, "nonsense"},
		{[]string{"serve", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"serve", "word"}, exitUsage, `unexpected argument "word"`},
		{[]string{"serve"}, exitUsage, "LB_CONFIG"},
		{[]string{"check", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"check", missing}, exitUsage, missing},
		{[]string{"check", "--operator", missing}, exitUsage, missing},
		{[]string{"duties", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"duties"}, exitUsage, "no admin socket: set --socket PATH"},
		{[]string{"duties", "--socket", missing}, exitFailed, missing},
		{[]string{"diff", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"diff", missing}, exitUsage, "diff: got 1 arguments, want two operator's files"},
		{[]string{"diff", missing, missing}, exitUsage, missing},
		{[]string{"members", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"members", "--socket", missing}, exitFailed, missing},
		{[]string{"connections", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"connections", "--json"}, exitUsage, "json"},
		{[]string{"connections", "--socket", missing}, exitFailed, missing},
		{[]string{"version", "--nonsense"}, exitUsage, "nonsense"},
		{[]string{"version", "word"}, exitUsage, `unexpected argument "word"`},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.arguments, " "), func(t *testing.T) {
			t.Parallel()
			got := runProgram(t, binary, test.arguments...)
			if got.code != test.code || !strings.Contains(got.stderr, test.stderr) {
				t.Errorf("%+v, want code %d and standard error with %q", got, test.code, test.stderr)
			}
			if !strings.HasPrefix(got.stderr, "tealpath: ") || got.stdout != "" {
				t.Errorf("%+v, want the error on standard error only", got)
			}
		})
	}
}
