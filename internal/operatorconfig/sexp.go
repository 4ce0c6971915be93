// Package operatorconfig reads the operator's file: settings of our own as S-expressions. A file is checked as a whole
// before anything of it is in force; each fault is named with line, column and reason.
package operatorconfig

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a file.
const (
	bytesMost  = 1 << 20
	depthMost  = 32
	faultsMost = 20
)

// Place is where something stands in a file, both from 1; columns count characters.
type Place struct{ Line, Column int }

// Fault is something wrong at a place.
type Fault struct {
	Place
	Why string
}

func (f Fault) Error() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Why) }

// Node is a list, a word or a text in quotes.
type Node struct {
	Place
	Word   string // of a word or a text
	Quoted bool
	List   []*Node // of a list
	isList bool
}

// Head is the first word of a list, empty if it has none.
func (n *Node) Head() string {
	if n.isList && len(n.List) > 0 && !n.List[0].isList && !n.List[0].Quoted {
		return n.List[0].Word
	}
	return ""
}

func (n *Node) String() string {
	switch {
	case n.isList && n.Head() != "":
		return "(" + n.Head() + " …)"
	case n.isList:
		return "a list"
	case n.Quoted:
		return fmt.Sprintf("%q", n.Word)
	}
	return n.Word
}

type reader struct {
	text string
	at   int
	Place
}

// Read reads the lists of a file. A comment goes from ; to the end of its line.
func Read(text string) ([]*Node, error) {
	r := &reader{text: text, Place: Place{1, 1}}
	if len(text) > bytesMost {
		return nil, Fault{r.Place, fmt.Sprintf("the file has more than %d bytes", bytesMost)}
	}
	if !utf8.ValidString(text) {
		for r.at < len(text) {
			if c, size := utf8.DecodeRuneInString(text[r.at:]); c == utf8.RuneError && size == 1 {
				return nil, Fault{r.Place, "this is not UTF-8"}
			}
			r.step()
		}
	}
	var out []*Node
	for r.space(); r.at < len(text); r.space() {
		n, err := r.node(0)
		if err != nil {
			return nil, err
		}
		if !n.isList {
			return nil, Fault{n.Place, fmt.Sprintf("%s stands outside any list", n)}
		}
		out = append(out, n)
	}
	return out, nil
}

// step goes over one character.
func (r *reader) step() rune {
	c, size := utf8.DecodeRuneInString(r.text[r.at:])
	r.at += size
	r.Column++
	if c == '\n' {
		r.Line, r.Column = r.Line+1, 1
	}
	return c
}

func (r *reader) peek() rune {
	if r.at >= len(r.text) {
		return -1
	}
	c, _ := utf8.DecodeRuneInString(r.text[r.at:])
	return c
}

func (r *reader) space() {
	for r.at < len(r.text) {
		switch c := r.peek(); {
		case c == ';':
			for r.at < len(r.text) && r.step() != '\n' {
			}
		case unicode.IsSpace(c):
			r.step()
		default:
			return
		}
	}
}

func (r *reader) node(depth int) (*Node, error) {
	n := &Node{Place: r.Place}
	switch c := r.peek(); {
	case c == ')':
		return nil, Fault{r.Place, "a ) without its ("}
	case c == '"':
		n.Quoted = true
		return n, r.quoted(n)
	case c != '(':
		for r.at < len(r.text) && !unicode.IsSpace(r.peek()) && !strings.ContainsRune(`();"`, r.peek()) {
			c := r.step()
			if unicode.IsControl(c) {
				return nil, Fault{n.Place, "a word with a control character"}
			}
			n.Word += string(c)
		}
		return n, nil
	}
	if depth >= depthMost {
		return nil, Fault{r.Place, fmt.Sprintf("lists more than %d deep", depthMost)}
	}
	n.isList = true
	r.step()
	for {
		r.space()
		switch r.peek() {
		case -1:
			return nil, Fault{n.Place, "this ( has no )"}
		case ')':
			r.step()
			return n, nil
		}
		item, err := r.node(depth + 1)
		if err != nil {
			return nil, err
		}
		n.List = append(n.List, item)
	}
}

func (r *reader) quoted(n *Node) error {
	r.step()
	var out strings.Builder
	for r.at < len(r.text) {
		at := r.Place
		switch c := r.step(); c {
		case '"':
			n.Word = out.String()
			return nil
		case '\n':
			return Fault{n.Place, `this " has no end on its line`}
		case '\\':
			escaped := map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}
			c := r.peek()
			to, known := escaped[c]
			if !known {
				return Fault{at, `after \ only " \ n t can stand`}
			}
			r.step()
			out.WriteRune(to)
		default:
			out.WriteRune(c)
		}
	}
	return Fault{n.Place, `this " has no end`}
}

// faults gathers what is wrong with a file, so that all is told at once.
type faults []error

func (f *faults) add(at Place, form string, args ...any) {
	if len(*f) < faultsMost {
		*f = append(*f, Fault{at, fmt.Sprintf(form, args...)})
	}
}

func (f faults) err() error { return errors.Join(f...) }

// entry is what may stand in a list under a word.
type entry struct {
	take     func(n *Node, args []*Node)
	needed   bool
	repeated bool
}

// walk goes through the lists in a list: each must be known, none may come twice unless it may be repeated.
func (f *faults) walk(n *Node, items []*Node, known map[string]entry) {
	seen := map[string]Place{}
	for _, item := range items {
		word := item.Head()
		e, ok := known[word]
		switch first, twice := seen[word]; {
		case word == "":
			f.add(item.Place, "%s, where a list such as (%s …) belongs", item, example(known))
		case !ok:
			f.add(item.Place, "unknown word %s in (%s …); known are %s", word, n.Head(), names(known))
		case twice && !e.repeated:
			f.add(item.Place, "%s stands at line %d already", word, first.Line)
		default:
			seen[word] = item.Place
			e.take(item, item.List[1:])
		}
	}
	for _, word := range sorted(known) {
		if _, got := seen[word]; known[word].needed && !got {
			f.add(n.Place, "(%s …) lacks (%s …)", n.Head(), word)
		}
	}
}

func names(known map[string]entry) string { return strings.Join(sorted(known), ", ") }

func example(known map[string]entry) string { return sorted(known)[0] }
