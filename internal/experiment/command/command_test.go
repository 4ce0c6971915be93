package command

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"tealpath/internal/experiment/testcluster/clustertest"

	"github.com/urfave/cli/v3"
)

// programRun is the exit code and the output of a program.
type programRun struct {
	code           int
	stdout, stderr string
}

// run runs a program in a temporary directory, and returns its exit code and output.
func run(t *testing.T, binary string, arguments ...string) programRun {
	t.Helper()
	var stdout, stderr strings.Builder
	command := exec.Command(binary, arguments...)
	command.Dir = t.TempDir()
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return programRun{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// Each command prints help that contains all its flags, and exits with 0.
func TestHelp(t *testing.T) {
	for _, program := range []string{"tealexperiment", "teallab"} {
		t.Run(program, func(t *testing.T) {
			binary := clustertest.Build(t, program)
			root := app(program)
			for _, arguments := range [][]string{nil, {"--help"}, {"help"}} {
				help := run(t, binary, arguments...)
				if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, root.Usage) {
					t.Errorf("%v: want exit code 0, help with %q and no error, got %+v", arguments, root.Usage, help)
				}
				for _, command := range root.Commands {
					if !command.Hidden && !strings.Contains(help.stdout, command.Usage) {
						t.Errorf("help of %v does not contain the usage of %s", arguments, command.Name)
					}
				}
			}
			for _, command := range root.Commands {
				t.Run(command.Name, func(t *testing.T) { checkHelp(t, binary, command) })
			}
		})
	}
}

func checkHelp(t *testing.T, binary string, command *cli.Command) {
	t.Helper()
	help := run(t, binary, command.Name, "--help")
	if help.code != 0 || help.stderr != "" || !strings.Contains(help.stdout, command.Usage) {
		t.Errorf("want exit code 0, help with %q and no error, got %+v", command.Usage, help)
	}
	for _, flag := range command.Flags {
		documented, ok := flag.(cli.DocGenerationFlag)
		if !ok || documented.GetUsage() == "" {
			t.Errorf("%v has no help text", flag.Names())
		}
		if !strings.Contains(help.stdout, "--"+flag.Names()[0]) {
			t.Errorf("help does not contain the flag %v", flag.Names())
		}
	}
}

// A renamed flag or a changed default would break scripts and documented commands.
func TestFlagsAndDefaults(t *testing.T) {
	want := map[string]string{
		"duties": "instances=5 kills=20 caches=20 slots=64 seed=7 out=lab-out lease=1.5s renewal=500ms period=1s " +
			"calm=10s binary=bin/tealpath virtual=0",
		"idle": "counts=[0 1000 10000] most=14900 rate=500 seconds=20s out=lab-out expire=1m0s binary=bin/tealpath " +
			"baseline=",
		"hold": "to= from=127.0.0.1",
		"ways": "count=4000",
		"coldstart": "routers=100 caches=40 seed=7 out=lab-out faults=none seconds=20s rate=300 binary=bin/tealpath " +
			"hold=0s links=false baseline= virtual=false tries=3 holds=0 known=false list-bears=100 opens=0 told=0",
		"members": "instances=24 minutes=3 faults=kill,pause slots=16 seed=7 out=lab-out binary=bin/tealpath virtual=0 " +
			"loss=0 before=false every=20s silence=2.1s",
		"agree": "instances=5 virtual=1 seed=7 lease=1.5s renewal=500ms every=4s",
	}
	commands := app("tealexperiment").Commands
	if len(commands) != len(want) {
		t.Errorf("%d commands, want %d", len(commands), len(want))
	}
	for _, command := range commands {
		var got []string
		command.Action = func(_ context.Context, cmd *cli.Command) error {
			for _, flag := range cmd.Flags {
				if name := flag.Names()[0]; name != "help" {
					got = append(got, fmt.Sprintf("%s=%v", name, cmd.Value(name)))
				}
			}
			return nil
		}
		if err := command.Run(t.Context(), []string{command.Name}); err != nil {
			t.Fatal(err)
		}
		if text := strings.Join(got, " "); text != want[command.Name] {
			t.Errorf("flags of %s:\n%s, want\n%s", command.Name, text, want[command.Name])
		}
	}
}

// The exit codes are those of README.md: 2 if the command line is invalid, 1 if an experiment failed or broke a bound.
// Errors are written to standard error.
func TestExitCodes(t *testing.T) {
	const missing = "/nonexistent/tealpath"
	binary := clustertest.Build(t, "tealexperiment")
	tests := []struct {
		arguments string
		code      int
		stderr    string // part of the expected output
	}{
		{"nonsense", exitUsage, `unknown command "nonsense"`},
		{"--nonsense", exitUsage, "nonsense"},
		{"duties --nonsense", exitUsage, "nonsense"},
		{"duties --kills many", exitUsage, "kills"},
		{
			"duties --instances 0",
			exitUsage,
			"--instances and --caches must be at least 1 (got 0 and 20), --kills at least 0",
		},
		{"duties --out /dev/null/out", exitUsage, "/dev/null"},
		{"idle --nonsense", exitUsage, "nonsense"},
		{"idle --counts 5", exitUsage, "--counts must start at 0 and be in ascending order (got [5])"},
		{"hold --nonsense", exitUsage, "nonsense"},
		{"ways --nonsense", exitUsage, "nonsense"},
		{"coldstart --nonsense", exitUsage, "nonsense"},
		{
			"coldstart --routers 0",
			exitUsage,
			"--routers and --caches must be at least 1 (got 0 and 40), --rate above 0",
		},
		{"members --nonsense", exitUsage, "nonsense"},
		{"members --instances 1", exitUsage, `--instances needs whole numbers from 2, got "1"`},
		{"agree --nonsense", exitUsage, "nonsense"},
		{
			"agree --instances x",
			exitUsage,
			`--instances needs whole numbers from 1 (got "x"), --virtual a number above 0`,
		},
		{"duties --instances 1 --caches 1 --binary " + missing, exitFailed, missing},
		{"idle --counts 0 --binary " + missing, exitFailed, missing},
		{"coldstart --routers 1 --caches 1 --binary " + missing, exitFailed, missing},
		{"coldstart --faults nonsense", exitFailed, `unknown fault "nonsense": must be one of none, list-down`},
		{"members --instances 2 --binary " + missing, exitFailed, missing},
		{"members --faults nonsense", exitFailed, `unknown fault "nonsense"; faults are kill, pause`},
		{
			"members --virtual 0.01 --instances 20 --silence 1ms --loss 0.9 --faults kill",
			exitFailed,
			"a bound of docs/membership.md is broken",
		},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			t.Parallel()
			got := run(t, binary, strings.Fields(test.arguments)...)
			if got.code != test.code || !strings.Contains(got.stderr, test.stderr) {
				t.Errorf("got %+v, want exit code %d and standard error with %q", got, test.code, test.stderr)
			}
			if !strings.HasPrefix(got.stderr, "tealexperiment: ") || strings.Contains(got.stdout, test.stderr) {
				t.Errorf("want the error on standard error only, after the name of the program, got %+v", got)
			}
		})
	}
}

// Results are written to standard output, of which the last line is JSON, and nothing is written to standard error.
func TestResultsAreOnStandardOutput(t *testing.T) {
	binary := clustertest.Build(t, "tealexperiment")
	for _, arguments := range []string{
		"duties --virtual 0.01 --instances 3",
		"agree --virtual 0.05",
		"members --virtual 0.02 --instances 20 --faults kill --before",
		"ways --count 20",
	} {
		t.Run(arguments, func(t *testing.T) {
			t.Parallel()
			got := run(t, binary, strings.Fields(arguments)...)
			lines := strings.Split(strings.TrimSpace(got.stdout), "\n")
			last := lines[len(lines)-1]
			if got.code != 0 || got.stderr != "" || !strings.HasPrefix(last, "{") && !strings.HasPrefix(last, "[{") {
				t.Errorf("want exit code 0, JSON in the last line and no error, got %+v", got)
			}
		})
	}
}
