// Package sexpr parses S-expressions: parenthesized lists of words, quoted texts and other lists. A comment begins
// with a semicolon and ends with its line. The size of the input and the nesting depth of lists are limited.
package sexpr

import "fmt"

// Position is a place in the input. Lines and columns start at 1; columns count characters, not bytes.
type Position struct {
	Line, Column int
}

// String returns the position as LINE:COLUMN.
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// SyntaxError reports where and why the input is not a sequence of lists.
type SyntaxError struct {
	Position Position
	Reason   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Reason)
}

// Node is a list, a word or a quoted text.
type Node struct {
	Position Position
	Word     string  // the word or the quoted text without its quotes; empty for a list
	IsQuoted bool    // whether the node is a quoted text
	IsList   bool    // whether the node is a list
	List     []*Node // the elements of a list
}

// Head returns the word that a list begins with. It returns "" if the node is not a list or does not begin with a
// word.
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

// String returns a short form of the node for errors. It abbreviates lists.
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
