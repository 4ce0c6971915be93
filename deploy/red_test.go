package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// .ci/red runs the tests and cases that are known to fail, and separately all other tests, which must pass. This test
// runs it on a module with two packages, in which one test passes and two fail, and with a case whose exit code is its
// argument.
func TestKnownRed(t *testing.T) {
	red, err := filepath.Abs("../.ci/red")
	if err != nil {
		t.Fatal(err)
	}
	const (
		command1 = "go test -count=1 -run ^TestOld$ ./a"
		command2 = "SEED=7 go test -short -count=1 -v -run ^TestOther$ ./b"
		known1   = "./a:TestOld\t" + command1 + "\tcounts twice\tissue 7"
		known2   = "./b:TestOther\t" + command2 + "\tcomes late\tissue 8"
	)
	knownCase := func(command string) string { return "cases/1/run.sh\t" + command + "\tis lost\tissue 9" }
	for _, c := range []struct {
		name, file string
		body       string // body of the function TestOther
		fails      bool   // whether .ci/red must fail
		want       string // part of the output of .ci/red
	}{
		{
			"both failures are known", known1 + "\n" + known2, "t.Fail()", false,
			"./a:TestOld fails, as known: counts twice (issue 7)",
		},
		{"one failure is not known", known1, "t.Fail()", true, "--- FAIL: TestOther"},
		{"a known failure passes", known1 + "\n" + known2 + "\n", "", true, "./b:TestOther passes now"},
		{
			"the failure needs the seed of the command", known1 + "\n" + known2, `if os.Getenv("SEED") == "7" { t.Fail() }`, false,
			"./b:TestOther fails, as known: comes late (issue 8)",
		},
		{
			"a known failure does not run to its end", known1 + "\n" + known2, "os.Exit(1)", true,
			"./b:TestOther did not run to its end",
		},
		{"too many lines", strings.Repeat(known1+"\n", 4), "t.Fail()", true, "more than three lines"},
		{"no command", "./a:TestOld\tcounts twice\tissue 7\n" + known2, "t.Fail()", true, "line 1 is not"},
		{"no issue", "./a:TestOld\t" + command1 + "\tcounts twice\n" + known2, "t.Fail()", true, "line 1 is not"},
		{"too many fields", known1 + "\tmore\n" + known2, "t.Fail()", true, "line 1 is not"},
		{
			"unknown test", known1 + "\n./b:TestOthers\tgo test -count=1 -run ^TestOthers$ ./b\tlate\tissue 8", "t.Fail()", true,
			"no test is named ./b:TestOthers",
		},
		{
			"test of another package", "./b:TestOld\tgo test -count=1 -run ^TestOld$ ./b\tcounts twice\tissue 7\n" + known2,
			"t.Fail()", true, "no test is named ./b:TestOld",
		},
		{"no test name", "all\t" + command1 + "\tcounts twice\tissue 7", "t.Fail()", true, "names no test"},
		{
			"command of another test", "./a:TestOld\t" + command2 + "\tcounts twice\tissue 7", "t.Fail()", true,
			"the command has to be",
		},
		{
			"command that runs more than its test", "./a:TestOld\tgo test -count=1 -run ^Test ./a\tlate\tissue 7", "t.Fail()", true,
			"the command has to be",
		},
		{"cached test", "./a:TestOld\tgo test -run ^TestOld$ ./a\tlate\tissue 7", "t.Fail()", true, "the command has to be"},
		{"command with a shell operator", "./a:TestOld\tfalse; " + command1 + "\tlate\tissue 7", "t.Fail()", true, "the command has to be"},
		{"empty file", "", "t.Fail()", true, "is empty"},
		{
			"a case fails", known1 + "\n" + known2 + "\n" + knownCase("SEED=7 cases/1/run.sh 1"), "t.Fail()", false,
			"cases/1/run.sh fails, as known: is lost (issue 9)",
		},
		{
			"a case passes", known1 + "\n" + known2 + "\n" + knownCase("cases/1/run.sh 0"), "t.Fail()", true,
			"cases/1/run.sh passes now",
		},
		{
			"a case cannot run", known1 + "\n" + known2 + "\n" + knownCase("cases/1/run.sh 2"), "t.Fail()", true,
			"cases/1/run.sh did not run to its end",
		},
		{
			"a case is not built", known1 + "\n" + known2 + "\n" + knownCase("cases/1/run.sh 1"), "t.Fail() // no build", true,
			"cases/build.sh failed",
		},
		{"a case does not exist", "cases/2/run.sh\tcases/2/run.sh\tlost\tissue 9", "t.Fail()", true, "no executable file"},
		{"command of another case", knownCase("cases/2/run.sh"), "t.Fail()", true, "the command has to be"},
		{"a case outside", "cases/../../run.sh\tcases/../../run.sh\tlost\tissue 9", "t.Fail()", true, "names no test"},
		{
			"a test fails beside a case", known1 + "\n" + knownCase("cases/1/run.sh 1"), "t.Fail()", true, "--- FAIL: TestOther",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(name, text string) {
				if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			writeScript := func(name, text string) {
				write(name, "#!/bin/bash\n"+text)
				if err := os.Chmod(filepath.Join(dir, name), 0o700); err != nil {
					t.Fatal(err)
				}
			}
			write("go.mod", "module m\n\ngo 1.26\n")
			write("a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestNew(*testing.T) {}\n\nfunc TestOld(t *testing.T) { t.Fail() }\n")
			write("b/b_test.go", "package b\n\nimport (\n\"os\"\n\"testing\"\n)\n\nvar _ = os.Args\n\n"+
				"func TestOther(t *testing.T) { "+c.body+"\n }\n")
			writeScript("cases/1/run.sh", "[ -f cases/built ] || exit 2\nexit $1\n")
			if strings.Contains(c.body, "no build") {
				writeScript("cases/build.sh", "exit 1\n")
			} else {
				writeScript("cases/build.sh", "touch cases/built\n")
			}
			write("KNOWN-RED.txt", c.file)
			cmd := exec.Command("bash", red, "KNOWN-RED.txt")
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if failed := err != nil; failed != c.fails || !strings.Contains(string(out), c.want) {
				t.Errorf("failed: %v, want %v; output:\n%s\nwant a part %q", failed, c.fails, out, c.want)
			}
		})
	}
}
