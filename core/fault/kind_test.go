package fault_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
)

// Guards against a kind without a table row, which would answer with status 0.
func TestEveryKindHasAnAnswer(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range fault.Kinds() {
		a := k.Properties()
		assert.Assert(t, a.Name != "" && a.Status >= 400 && a.Meaning != "", "kind %d", k)
		assert.Assert(t, !seen[a.Name], "name %q stands twice", a.Name)
		seen[a.Name] = true
		back, ok := fault.ParseKind(a.Name)
		assert.Assert(t, ok && back == k)
	}
}

// Guards against an error that callers meet and the page does not list.
func TestPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	for _, k := range fault.Kinds() {
		a := k.Properties()
		resend := "no"
		if a.Retryable {
			resend = "yes"
		}
		line := fmt.Sprintf("| %s | %d | %s | %s | %s |", a.Name, a.Status, a.Outcome, resend, a.Meaning)
		assert.Assert(t, strings.Contains(string(page), line), "docs/errors.md lacks the line\n%s", line)
	}
	assert.Equal(t, strings.Count(string(page), "\n| ")-1, len(fault.Kinds()), "rows without a kind")
}

// Guards against a caller being invited to resend a request that may have run.
func TestRetryIsAllowedOnlyWhenNotExecuted(t *testing.T) {
	for _, k := range fault.Kinds() {
		if a := k.Properties(); a.Retryable {
			assert.Equal(t, a.Outcome, fault.NotExecuted, a.Name)
		}
	}
}

// Guards against an error from a library being told to a caller as not executed.
func TestForeignErrorHasUnknownOutcome(t *testing.T) {
	e := fault.From(errors.New("broken pipe"))
	assert.Equal(t, e.Kind(), fault.Internal)
	assert.Equal(t, e.Outcome(), fault.Unknown)
}

func ExampleNewf() {
	err := errors.Wrap(fault.Newf(fault.NoTarget, "service %q", "socket-board"), "send call")
	fmt.Println(err, "/", fault.From(err).Outcome())
	// Output: send call: no-target: service "socket-board" / not-executed
}
