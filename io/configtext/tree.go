package configtext

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxNesting limits the recursion on malicious input. A valid text has five levels.
const maxNesting = 64

type kind uint8

const (
	objectNode kind = iota
	listNode
	textNode
	numberNode
	boolNode
	nullNode
	invalidNode // placeholder of a value that was reported as a syntax error
)

func (k kind) String() string {
	return [...]string{"an object", "a list", "text", "a number", "true or false", "null", "no value"}[k]
}

// node is a JSON value and the offset at which it starts.
type node struct {
	kind    kind
	offset  int
	text    string // of strings and numbers
	boolean bool
	members []member
	items   []*node
}

type member struct {
	name   string
	offset int
	value  *node
}

// parser builds a tree from tokens, because decoding into structs would lose offsets and duplicate keys.
type parser struct {
	src          []byte
	dec          *json.Decoder
	key          bool         // the last token was a key, so a colon must follow
	name         bool         // the next token must be a key
	placeholders map[int]bool // offsets of the placeholders that repairs inserted
}

type syntaxError struct {
	offset  int
	problem string
	fatal   bool // cannot be repaired
}

func (e *syntaxError) Error() string { return e.problem }

func (p *parser) parse() (*node, *syntaxError) {
	p.dec, p.key, p.name = json.NewDecoder(bytes.NewReader(p.src)), false, false
	p.dec.UseNumber()
	n, err := p.value(0)
	if err != nil {
		return nil, err
	}
	if rest := p.skip(int(p.dec.InputOffset())); rest < len(p.src) {
		return nil, &syntaxError{offset: rest, problem: "text after the end of the configuration", fatal: true}
	}
	return n, nil
}

// skip returns the offset of the first byte at or after i that is neither white space nor a separator.
func (p *parser) skip(i int) int {
	for i < len(p.src) && bytes.IndexByte([]byte(" \t\r\n,:"), p.src[i]) >= 0 {
		i++
	}
	return i
}

// next returns the next token and its offset.
func (p *parser) next() (json.Token, int, *syntaxError) {
	start := p.skip(int(p.dec.InputOffset()))
	tok, err := p.dec.Token()
	if err == nil {
		p.key, p.name = false, false
		return tok, start, nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, 0, &syntaxError{offset: len(p.src), problem: "the text ends before the configuration is complete", fatal: true}
	}
	// The offset of a json.SyntaxError is not that of the token if the decoder has read ahead.
	return nil, 0, &syntaxError{offset: start, problem: "not JSON: " + err.Error()}
}

func (p *parser) value(depth int) (*node, *syntaxError) {
	tok, start, err := p.next()
	if err != nil {
		return nil, err
	}
	if depth > maxNesting {
		return nil, &syntaxError{offset: start, problem: fmt.Sprintf("nested more than %d levels deep", maxNesting), fatal: true}
	}
	n := &node{offset: start}
	switch v := tok.(type) {
	case json.Delim:
		if v == '{' {
			return n, p.object(n, depth)
		}
		return n, p.list(n, depth)
	case string:
		n.kind, n.text = textNode, v
	case json.Number:
		n.kind, n.text = numberNode, v.String()
		if p.placeholders[start] {
			n.kind = invalidNode
		}
	case bool:
		n.kind, n.boolean = boolNode, v
	default:
		n.kind = nullNode
	}
	return n, nil
}

func (p *parser) object(n *node, depth int) *syntaxError {
	n.kind = objectNode
	for p.dec.More() {
		p.name = true
		tok, start, err := p.next()
		if err != nil {
			return err
		}
		p.key = true
		name, ok := tok.(string)
		if !ok {
			return &syntaxError{offset: start, problem: "not JSON: a key must be text in double quotes"}
		}
		v, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, offset: start, value: v})
	}
	_, _, err := p.next()
	return err
}

func (p *parser) list(n *node, depth int) *syntaxError {
	n.kind = listNode
	for p.dec.More() {
		v, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, v)
	}
	_, _, err := p.next()
	return err
}
