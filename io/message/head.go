package message

import (
	"fmt"
	"net/http"
)

const maxStatus = 999

// CheckHead returns an error if the status makes the head of a response, interim or final, none of HTTP. Package net/http
// accepts a status below 100.
func CheckHead(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return fmt.Errorf("response status: expected 100 to %d, got %03d", maxStatus, status)
	}
	return nil
}
