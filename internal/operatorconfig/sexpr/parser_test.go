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
				t.Errorf("error without a position: %v", err)
			}
			return
		}
		for _, node := range nodes {
			if !node.IsList {
				t.Errorf("node %s is not in a list", node)
			}
		}
	})
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       string
	}{
		{"unclosed list", "(a", "1:1: unclosed ("},
		{"unmatched parenthesis", "(a))", "1:4: unmatched )"},
		{"text not closed on its line", "(a \"b\n\")", "1:4: the quoted text is not closed on its line"},
		{"unclosed text", "(a \"b", "1:4: the quoted text is not closed"},
		{"unknown escape", `(a "\q")`, `1:5: unknown escape: \ before 'q', allowed are \" \\ \n \t`},
		{"control character", "(a b\x01)", `1:4: control character '\x01' in a word`},
		{"word outside a list", "a", "1:1: a is not in a list"},
		{"text outside a list", `"a"`, `1:1: "a" is not in a list`},
		{"not UTF-8", "(a)\n \xff", "2:2: byte 0xff is not valid UTF-8"},
		{"lists nested too deep", strings.Repeat("(", maxDepth+1), "1:33: lists are nested more than 32 deep"},
		{
			"file too large", strings.Repeat(" ", maxSize+1),
			"1:1: the file has 1048577 bytes, at most 1048576 are allowed",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse(c.text); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
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
		t.Fatalf("%d lists, the first is %+v; want one with key a, three elements and position 2:1", len(nodes), list)
	}
	if text := list.List[1]; !text.IsQuoted || text.Word != "x\n\"y" {
		t.Errorf("second element %+v, want the quoted text x\\n\\\"y", text)
	}
	if inner := list.List[2]; inner.Head() != "b" || inner.Position != (Position{Line: 3, Column: 3}) {
		t.Errorf("third element %+v, want a list with key b at 3:3", inner)
	}
}
