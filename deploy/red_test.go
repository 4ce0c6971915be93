package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// .ci/red runs the tests that are known to fail, and separately all other tests, which must pass. This test runs it on
// a module with two packages, in which one test passes and two fail.
func TestKnownRed(t *testing.T) {
	red, err := filepath.Abs("../.ci/red")
	if err != nil {
		t.Fatal(err)
	}
	const known1, known2 = "./a:TestOld\tcounts twice\tissue 7", "./b:TestOther\tcomes late\tissue 8"
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
		{"too many lines", strings.Repeat(known1+"\n", 4), "t.Fail()", true, "more than three lines"},
		{"no issue", "./a:TestOld\tcounts twice\n" + known2, "t.Fail()", true, "line 1 is not"},
		{"too many fields", known1 + "\tmore\n" + known2, "t.Fail()", true, "line 1 is not"},
		{"unknown test", known1 + "\n./b:TestOthers\tlate\tissue 8", "t.Fail()", true, "no test is named ./b:TestOthers"},
		{
			"test of another package", "./b:TestOld\tcounts twice\tissue 7\n" + known2, "t.Fail()", true,
			"no test is named ./b:TestOld",
		},
		{"no test name", "all\tcounts twice\tissue 7", "t.Fail()", true, "names no test"},
		{"empty file", "", "t.Fail()", true, "is empty"},
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
			write("go.mod", "module m\n\ngo 1.26\n")
			write("a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestNew(*testing.T) {}\n\nfunc TestOld(t *testing.T) { t.Fail() }\n")
			write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) { "+c.body+" }\n")
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
