package configtext

import (
	"bytes"
	"strings"
)

// maxRepairs limits the work on input that is not JSON at all.
const maxRepairs = 50

// parseAll parses a text and repairs common syntax errors in a copy of it, so that one run reports all of them together
// with the faults of the values. A repair overwrites bytes and never moves them, so offsets stay valid. The tree is nil
// if an error cannot be repaired.
func parseAll(src []byte) (*node, []syntaxError) {
	var found []syntaxError
	p := parser{src: src, placeholders: map[int]bool{}}
	for {
		root, err := p.parse()
		if err == nil {
			return root, found
		}
		if len(found) == 0 {
			p.src = bytes.Clone(src)
		}
		found = append(found, *err)
		if err.fatal {
			return nil, found
		}
		if len(found) >= maxRepairs || !p.repair(err.offset) {
			found[len(found)-1].problem += "; what follows was not read"
			return nil, found
		}
	}
}

// repair corrects the syntax error at the offset of an unexpected token. It reports whether it could.
func (p *parser) repair(at int) bool {
	if at >= len(p.src) {
		return false
	}
	preceding := bytes.TrimRight(p.src[:at], " \t\r\n")
	if len(preceding) == 0 {
		return false
	}
	last, c := preceding[len(preceding)-1], p.src[at]
	switch {
	case last == ',' && (c == '}' || c == ']'): // trailing comma
		p.src[len(preceding)-1] = ' '
		return true
	case strings.IndexByte(":,[", last) >= 0:
		return !p.name && p.placeholder(at) // an unquoted key cannot be replaced without inventing a name
	case strings.IndexByte("{", last) >= 0 || c == '}' || c == ']' || c == ':':
		return false
	case len(preceding) == at: // for example 08 or 250ms: a valid number ends inside the word
		start := at
		for start > 0 && strings.IndexByte(tokenDelimiters, p.src[start-1]) < 0 {
			start--
		}
		return start < at && p.placeholder(start)
	case p.name && c != '"':
		return false
	case p.key: // missing colon
		p.src[len(preceding)] = ':'
		return true
	default:
		p.src[len(preceding)] = ','
		return true
	}
}

const tokenDelimiters = " \t\r\n,:{}[]\""

// placeholder replaces a word that is not a JSON value by the number 0. The offset is recorded, so that the value of
// the placeholder is not validated.
func (p *parser) placeholder(at int) bool {
	end := at
	if p.src[at] == '\'' {
		if n := bytes.IndexAny(p.src[at+1:], "'\n"); n >= 0 && p.src[at+1+n] == '\'' {
			end = at + n + 2
		}
	}
	for end < len(p.src) && strings.IndexByte(tokenDelimiters, p.src[end]) < 0 {
		end++
	}
	if end == at {
		return false
	}
	p.src[at] = '0'
	for i := at + 1; i < end; i++ {
		p.src[i] = ' '
	}
	p.placeholders[at] = true
	return true
}
