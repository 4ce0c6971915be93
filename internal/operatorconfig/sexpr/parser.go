package sexpr

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a text.
const (
	maxSize  = 1 << 20 // bytes
	maxDepth = 32      // lists within lists
)

// endOfText is what peek returns behind the last character.
const endOfText rune = -1

// escapes has what a character stands for behind a backslash in quotes.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// Parse returns the lists of a text. Any error is a *SyntaxError.
func Parse(text string) ([]*Node, error) {
	start := Position{Line: 1, Column: 1}
	if len(text) > maxSize {
		return nil, &SyntaxError{Position: start, Reason: fmt.Sprintf("the file has more than %d bytes", maxSize)}
	}
	if err := checkEncoding(text); err != nil {
		return nil, err
	}
	p := &parser{text: text, position: start}
	var nodes []*Node
	for p.skipSpace(); !p.atEnd(); p.skipSpace() {
		node, err := p.node(0)
		if err != nil {
			return nil, err
		}
		if !node.IsList {
			return nil, &SyntaxError{Position: node.Position, Reason: fmt.Sprintf("%s stands outside any list", node)}
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

// checkEncoding returns an error at the first byte that is not UTF-8.
func checkEncoding(text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	p := &parser{text: text, position: Position{Line: 1, Column: 1}}
	for !p.atEnd() {
		if c, size := utf8.DecodeRuneInString(p.text[p.offset:]); c == utf8.RuneError && size == 1 {
			break
		}
		p.next()
	}
	return &SyntaxError{Position: p.position, Reason: "this is not UTF-8"}
}

// parser stands at a place in a text.
type parser struct {
	text     string
	offset   int // bytes
	position Position
}

func (p *parser) atEnd() bool {
	return p.offset >= len(p.text)
}

// peek returns the next character, or endOfText.
func (p *parser) peek() rune {
	if p.atEnd() {
		return endOfText
	}
	c, _ := utf8.DecodeRuneInString(p.text[p.offset:])
	return c
}

// next returns the next character and goes past it.
func (p *parser) next() rune {
	c, size := utf8.DecodeRuneInString(p.text[p.offset:])
	p.offset += size
	p.position.Column++
	if c == '\n' {
		p.position.Line++
		p.position.Column = 1
	}
	return c
}

// skipSpace goes past white space and comments.
func (p *parser) skipSpace() {
	for !p.atEnd() {
		c := p.peek()
		switch {
		case c == ';':
			p.skipLine()
		case unicode.IsSpace(c):
			p.next()
		default:
			return
		}
	}
}

func (p *parser) skipLine() {
	for !p.atEnd() {
		if p.next() == '\n' {
			return
		}
	}
}

// node reads a node within so many lists.
func (p *parser) node(depth int) (*Node, error) {
	switch p.peek() {
	case ')':
		return nil, &SyntaxError{Position: p.position, Reason: "a ) without its ("}
	case '"':
		return p.quoted()
	case '(':
		return p.list(depth)
	}
	return p.word()
}

// word reads a word: characters up to white space or one that delimits.
func (p *parser) word() (*Node, error) {
	node := &Node{Position: p.position}
	for !p.atEnd() && !isDelimiter(p.peek()) {
		c := p.next()
		if unicode.IsControl(c) {
			return nil, &SyntaxError{Position: node.Position, Reason: "a word with a control character"}
		}
		node.Word += string(c)
	}
	return node, nil
}

func isDelimiter(c rune) bool {
	return unicode.IsSpace(c) || strings.ContainsRune(`();"`, c)
}

func (p *parser) list(depth int) (*Node, error) {
	if depth >= maxDepth {
		return nil, &SyntaxError{Position: p.position, Reason: fmt.Sprintf("lists more than %d deep", maxDepth)}
	}
	node := &Node{Position: p.position, IsList: true}
	p.next()
	for {
		p.skipSpace()
		switch p.peek() {
		case endOfText:
			return nil, &SyntaxError{Position: node.Position, Reason: "this ( has no )"}
		case ')':
			p.next()
			return node, nil
		}
		item, err := p.node(depth + 1)
		if err != nil {
			return nil, err
		}
		node.List = append(node.List, item)
	}
}

// quoted reads a text in quotes, which ends on its line.
func (p *parser) quoted() (*Node, error) {
	node := &Node{Position: p.position, IsQuoted: true}
	p.next()
	var text strings.Builder
	for !p.atEnd() {
		position := p.position
		switch c := p.next(); c {
		case '"':
			node.Word = text.String()
			return node, nil
		case '\n':
			return nil, &SyntaxError{Position: node.Position, Reason: `this " has no end on its line`}
		case '\\':
			escaped, known := escapes[p.peek()]
			if !known {
				return nil, &SyntaxError{Position: position, Reason: `after \ only " \ n t can stand`}
			}
			p.next()
			text.WriteRune(escaped)
		default:
			text.WriteRune(c)
		}
	}
	return nil, &SyntaxError{Position: node.Position, Reason: `this " has no end`}
}
