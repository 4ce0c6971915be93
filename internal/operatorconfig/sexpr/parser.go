package sexpr

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of the input.
const (
	maxSize  = 1 << 20 // size of the text, bytes
	maxDepth = 32      // number of lists that are nested in each other
)

// endOfText is what peek returns after the last character.
const endOfText rune = -1

// escapes maps the character after a backslash in a quoted text to the character that both represent.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// Parse returns the top-level lists of a text. Any error is a *SyntaxError.
func Parse(text string) ([]*Node, error) {
	start := Position{Line: 1, Column: 1}
	if len(text) > maxSize {
		reason := fmt.Sprintf("the file has %d bytes, at most %d are allowed", len(text), maxSize)
		return nil, &SyntaxError{Position: start, Reason: reason}
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
			return nil, &SyntaxError{Position: node.Position, Reason: fmt.Sprintf("%s is not in a list", node)}
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
	reason := fmt.Sprintf("byte 0x%02x is not valid UTF-8", p.text[p.offset])
	return &SyntaxError{Position: p.position, Reason: reason}
}

// parser reads a text from its beginning to its end.
type parser struct {
	text     string
	offset   int      // offset of the next character, bytes
	position Position // position of the next character
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

// next returns the next character and advances past it.
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

// skipSpace skips white space and comments.
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

// node reads one node. depth is the number of lists that contain it.
func (p *parser) node(depth int) (*Node, error) {
	switch p.peek() {
	case ')':
		return nil, &SyntaxError{Position: p.position, Reason: "unmatched )"}
	case '"':
		return p.quoted()
	case '(':
		return p.list(depth)
	}
	return p.word()
}

// word reads a word, which ends before white space or one of the delimiters ( ) ; ".
func (p *parser) word() (*Node, error) {
	node := &Node{Position: p.position}
	for !p.atEnd() && !isDelimiter(p.peek()) {
		c := p.next()
		if unicode.IsControl(c) {
			return nil, &SyntaxError{Position: node.Position, Reason: fmt.Sprintf("control character %q in a word", c)}
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
		reason := fmt.Sprintf("lists are nested more than %d deep", maxDepth)
		return nil, &SyntaxError{Position: p.position, Reason: reason}
	}
	node := &Node{Position: p.position, IsList: true}
	p.next()
	for {
		p.skipSpace()
		switch p.peek() {
		case endOfText:
			return nil, &SyntaxError{Position: node.Position, Reason: "unclosed ("}
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

// quoted reads a quoted text, which must end on the line on which it begins.
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
			return nil, &SyntaxError{Position: node.Position, Reason: "the quoted text is not closed on its line"}
		case '\\':
			escaped, known := escapes[p.peek()]
			if !known {
				reason := fmt.Sprintf(`unknown escape: \ before %q, allowed are \" \\ \n \t`, p.peek())
				return nil, &SyntaxError{Position: position, Reason: reason}
			}
			p.next()
			text.WriteRune(escaped)
		default:
			text.WriteRune(c)
		}
	}
	return nil, &SyntaxError{Position: node.Position, Reason: "the quoted text is not closed"}
}
