package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What CI does with tests that are known to fail, on a module of two packages: one test passes, two fail.
func TestKnownRed(t *testing.T) {
	red, err := filepath.Abs("../.ci/red")
	if err != nil {
		t.Fatal(err)
	}
	const red1, red2 = "./a:TestOld\tcounts twice\tissue 7", "./b:TestOther\tcomes late\tissue 8"
	for _, c := range []struct {
		name, file string
		b          string // body of the test in the other package
		fails      bool
		says       string
	}{
		{"both known", red1 + "\n" + red2, "t.Fail()", false, "./a:TestOld fails, as known: counts twice (issue 7)"},
		{"an unknown one fails too", red1, "t.Fail()", true, "--- FAIL: TestOther"},
		{"one passes now", red1 + "\n" + red2 + "\n", "", true, "./b:TestOther passes now"},
		{"four lines", strings.Repeat(red1+"\n", 4), "t.Fail()", true, "more than three lines"},
		{"no issue", "./a:TestOld\tcounts twice\n" + red2, "t.Fail()", true, "line 1 is not"},
		{"a part too many", red1 + "\tmore\n" + red2, "t.Fail()", true, "line 1 is not"},
		{"no test has the name", red1 + "\n./b:TestOthers\tlate\tissue 8", "t.Fail()", true, "no test is named ./b:TestOthers"},
		{"another package's test", "./b:TestOld\tcounts twice\tissue 7\n" + red2, "t.Fail()", true, "no test is named ./b:TestOld"},
		{"no name", "all\tcounts twice\tissue 7", "t.Fail()", true, "names no test"},
		{"empty", "", "t.Fail()", true, "is empty"},
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
			write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) { "+c.b+" }\n")
			write("KNOWN-RED.txt", c.file)
			cmd := exec.Command("bash", red, "KNOWN-RED.txt")
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if failed := err != nil; failed != c.fails || !strings.Contains(string(out), c.says) {
				t.Errorf("failed: %v; it says\n%s", failed, out)
			}
		})
	}
}
