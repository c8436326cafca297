// Package rawjson splits JSON text into the texts of its parts, without decoding them.
//
// A list that many writers contribute to can contain an element that a decoder rejects: nested deeper than
// encoding/json allows, a number out of range, or a field of another type. Decoding the list as a whole would reject
// all of it. Splitting it first confines the error to the element.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Value is the text of a JSON value.
type Value []byte

// ErrMalformed is returned for text whose structure cannot be split.
var ErrMalformed = errors.New("malformed JSON")

// Fields returns the texts of the fields of an object by name. Of several fields with the same name, the last one
// counts, as in encoding/json. Names match exactly.
func (v Value) Fields() (map[string]Value, error) {
	s := scanner{rest: v}
	if !s.take('{') {
		return nil, ErrMalformed
	}
	fields := map[string]Value{}
	if s.take('}') {
		return fields, s.end()
	}
	for {
		var name string
		if err := json.Unmarshal(s.value(), &name); err != nil {
			return nil, errors.Wrap(ErrMalformed, "field name")
		}
		if !s.take(':') {
			return nil, ErrMalformed
		}
		field := s.value()
		if len(field) == 0 {
			return nil, ErrMalformed
		}
		fields[name] = field
		if s.take('}') {
			return fields, s.end()
		}
		if !s.take(',') {
			return nil, ErrMalformed
		}
	}
}

// Elements returns the texts of the elements of an array. An empty value and null have none.
func (v Value) Elements() ([]Value, error) {
	s := scanner{rest: v}
	s.skipSpace()
	if len(s.rest) == 0 || string(bytes.TrimRight(s.rest, space)) == "null" {
		return nil, nil
	}
	if !s.take('[') {
		return nil, ErrMalformed
	}
	if s.take(']') {
		return nil, s.end()
	}
	var elements []Value
	for {
		element := s.value()
		if len(element) == 0 {
			return nil, ErrMalformed
		}
		elements = append(elements, element)
		if s.take(']') {
			return elements, s.end()
		}
		if !s.take(',') {
			return nil, ErrMalformed
		}
	}
}

const space = " \t\r\n"

// scanner consumes JSON text. It only tells strings and brackets apart, and counts nested brackets instead of
// recursing, so that no depth exhausts the stack.
type scanner struct{ rest []byte }

func (s *scanner) skipSpace() { s.rest = bytes.TrimLeft(s.rest, space) }

// take consumes the next character if it is c.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// end returns an error if there is text left.
func (s *scanner) end() error {
	if s.skipSpace(); len(s.rest) > 0 {
		return ErrMalformed
	}
	return nil
}

// value consumes the next value and returns its text, which is empty if there is none.
func (s *scanner) value() Value {
	s.skipSpace()
	depth, i := 0, 0
	for ; i < len(s.rest); i++ {
		switch s.rest[i] {
		case '"':
			i = endOfString(s.rest, i)
			if depth == 0 {
				return s.split(i + 1)
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.split(i) // closes the value that contains this one
			}
			if depth--; depth == 0 {
				return s.split(i + 1)
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.split(i)
			}
		}
	}
	return s.split(i)
}

// endOfString returns the index of the quote that ends the string which starts at index start.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// split consumes n characters, or all that are left if a string has no end.
func (s *scanner) split(n int) Value {
	n = min(n, len(s.rest))
	v := s.rest[:n]
	s.rest = s.rest[n:]
	return v
}
