package sexpr

import (
	"errors"
	"strings"
	"testing"
)

func FuzzParse(f *testing.F) {
	f.Add(`(a "b\n" (c ; d` + "\n" + `) )`)
	f.Add("(((((")
	f.Add("; only a comment")
	f.Add("(a \xff)")
	f.Fuzz(func(t *testing.T, text string) {
		nodes, err := Parse(text)
		if err != nil {
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Position.Line < 1 || syntax.Position.Column < 1 {
				t.Errorf("an error without its position: %v", err)
			}
			return
		}
		for _, node := range nodes {
			if !node.IsList {
				t.Errorf("%s outside a list", node)
			}
		}
	})
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       string
	}{
		{"no end of a list", "(a", "1:1: this ( has no )"},
		{"no beginning of a list", "(a))", "1:4: a ) without its ("},
		{"no end of a text on its line", "(a \"b\n\")", `1:4: this " has no end on its line`},
		{"no end of a text", "(a \"b", `1:4: this " has no end`},
		{"unknown escape", `(a "\q")`, `1:5: after \ only " \ n t can stand`},
		{"control character", "(a b\x01)", "1:4: a word with a control character"},
		{"word outside a list", "a", "1:1: a stands outside any list"},
		{"text outside a list", `"a"`, `1:1: "a" stands outside any list`},
		{"not UTF-8", "(a)\n \xff", "2:2: this is not UTF-8"},
		{"too deep", strings.Repeat("(", maxDepth+1), "1:33: lists more than 32 deep"},
		{"too large", strings.Repeat(" ", maxSize+1), "1:1: the file has more than 1048576 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse(c.text); err == nil || err.Error() != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}

func TestParsePositionsAndEscapes(t *testing.T) {
	nodes, err := Parse("; ü\n(a \"x\\n\\\"y\"\n  (b 1))")
	if err != nil {
		t.Fatal(err)
	}
	list := nodes[0]
	if len(nodes) != 1 || list.Head() != "a" || len(list.List) != 3 || list.Position != (Position{Line: 2, Column: 1}) {
		t.Fatalf("%+v", list)
	}
	if text := list.List[1]; !text.IsQuoted || text.Word != "x\n\"y" {
		t.Errorf("%+v", text)
	}
	if inner := list.List[2]; inner.Head() != "b" || inner.Position != (Position{Line: 3, Column: 3}) {
		t.Errorf("%+v", inner)
	}
}
