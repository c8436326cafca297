package configtext

import (
	"bytes"
	"strings"
)

// maxRepairs bounds the work on a text that is not JSON at all.
const maxRepairs = 50

// parseAll parses a text and repairs common slips in a copy of it, so that one run reports them all together with the
// faults of the values. A repair overwrites bytes and never moves them, so places stay right. The tree is nil when a
// slip cannot be repaired.
func parseAll(src []byte) (*node, []syntaxError) {
	var found []syntaxError
	p := parser{src: src, broken: map[int]bool{}}
	for {
		root, err := p.parse()
		if err == nil {
			return root, found
		}
		if len(found) == 0 {
			p.src = bytes.Clone(src)
		}
		found = append(found, *err)
		if err.final {
			return nil, found
		}
		if len(found) >= maxRepairs || !p.repair(err.offset) {
			found[len(found)-1].problem += "; what follows was not read"
			return nil, found
		}
	}
}

// repair makes the text valid at the offset of an unexpected token.
func (p *parser) repair(at int) bool {
	if at >= len(p.src) {
		return false
	}
	before := bytes.TrimRight(p.src[:at], " \t\r\n")
	if len(before) == 0 {
		return false
	}
	last, c := before[len(before)-1], p.src[at]
	switch {
	case last == ',' && (c == '}' || c == ']'): // a comma too many
		p.src[len(before)-1] = ' '
		return true
	case strings.IndexByte(":,[", last) >= 0:
		return !p.name && p.placeholder(at) // a word in the place of a key cannot be replaced without inventing a key
	case strings.IndexByte("{", last) >= 0 || c == '}' || c == ']' || c == ':':
		return false
	case len(before) == at: // 08 or 250ms, which start like a number
		start := at
		for start > 0 && strings.IndexByte(delimiters, p.src[start-1]) < 0 {
			start--
		}
		return start < at && p.placeholder(start)
	case p.name && c != '"':
		return false
	case p.key: // a colon is missing
		p.src[len(before)] = ':'
		return true
	default:
		p.src[len(before)] = ','
		return true
	}
}

const delimiters = " \t\r\n,:{}[]\""

// placeholder replaces a word that is no JSON value. Its place is kept, so that the value is not judged as well.
func (p *parser) placeholder(at int) bool {
	end := at
	if p.src[at] == '\'' {
		if n := bytes.IndexAny(p.src[at+1:], "'\n"); n >= 0 && p.src[at+1+n] == '\'' {
			end = at + n + 2
		}
	}
	for end < len(p.src) && strings.IndexByte(delimiters, p.src[end]) < 0 {
		end++
	}
	if end == at {
		return false
	}
	p.src[at] = '0'
	for i := at + 1; i < end; i++ {
		p.src[i] = ' '
	}
	p.broken[at] = true
	return true
}
