package message

import (
	"fmt"
	"net/http"
	"strings"
)

const maxStatus = 999

// CheckHead returns an error if the status or a field name is not valid in the head of a response, interim or final. Package
// net/http accepts a status below 100, and spaces in names.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusContinue || status > maxStatus {
		return fmt.Errorf("response status: expected 100 to %d, got %03d", maxStatus, status)
	}
	if status == http.StatusSwitchingProtocols {
		return fmt.Errorf("response status %d to a request without Upgrade", status)
	}
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("response head: expected a field name, got %q", name)
		}
	}
	return nil
}

// isToken reports whether s is a token of HTTP, as each field name is.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && !('0' <= c && c <= '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
