// Package sexpr reads S-expressions: lists in parentheses of words, texts in quotes and other lists. A comment
// goes from a semicolon to the end of its line. The size of a text and the depth of its lists are bounded.
package sexpr

import "fmt"

// Position is where something stands in a text. Both are counted from 1; columns count characters.
type Position struct {
	Line, Column int
}

// String returns the position as errors have it.
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// SyntaxError is a text that is no sequence of lists.
type SyntaxError struct {
	Position Position
	Reason   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Reason)
}

// Node is a list, a word or a text in quotes.
type Node struct {
	Position Position
	Word     string  // of a word or a text
	IsQuoted bool    // it is a text in quotes
	IsList   bool    // it is a list
	List     []*Node // of a list
}

// Head returns the first word of a list, or an empty text where it has none.
func (n *Node) Head() string {
	if !n.IsList || len(n.List) == 0 {
		return ""
	}
	first := n.List[0]
	if first.IsList || first.IsQuoted {
		return ""
	}
	return first.Word
}

// String returns the node as errors name it.
func (n *Node) String() string {
	switch {
	case n.IsList && n.Head() != "":
		return "(" + n.Head() + " …)"
	case n.IsList:
		return "a list"
	case n.IsQuoted:
		return fmt.Sprintf("%q", n.Word)
	}
	return n.Word
}
