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

// Guards against a kind without an entry in the table, which would be reported with status 0.
func TestEveryKindHasProperties(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range fault.Kinds() {
		p := k.Properties()
		assert.Assert(t, p.Name != "" && p.Status >= 400 && p.Meaning != "", "kind %d", k)
		assert.Assert(t, !seen[p.Name], "duplicate name %q", p.Name)
		seen[p.Name] = true
		parsed, ok := fault.ParseKind(p.Name)
		assert.Assert(t, ok && parsed == k)
	}
}

// Guards against a caller or an operator who is told of a broken connection only, where the answer of a target was malformed.
func TestMeaningOfTargetFailed(t *testing.T) {
	meaning := fault.TargetFailed.Properties().Meaning
	for _, cause := range []string{"connection", "malformed"} {
		assert.Assert(t, strings.Contains(meaning, cause), "%q names no cause %q", meaning, cause)
	}
}

// Guards against an error kind that callers can receive but that the documentation does not list.
func TestPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	for _, k := range fault.Kinds() {
		p := k.Properties()
		resend := "no"
		if p.Retryable {
			resend = "yes"
		}
		line := fmt.Sprintf("| %s | %d | %s | %s | %s |", p.Name, p.Status, p.Outcome, resend, p.Meaning)
		assert.Assert(t, strings.Contains(string(page), line), "docs/errors.md lacks the line\n%s", line)
	}
	assert.Equal(t, strings.Count(string(page), "\n| ")-1, len(fault.Kinds()), "rows without a kind")
}

// Guards against inviting a caller to resend a request that may have been executed.
func TestRetryIsAllowedOnlyWhenNotExecuted(t *testing.T) {
	for _, k := range fault.Kinds() {
		if p := k.Properties(); p.Retryable {
			assert.Equal(t, p.Outcome, fault.NotExecuted, p.Name)
		}
	}
}

// Guards against a library error that is reported to a caller as not executed.
func TestErrorWithoutKindHasUnknownOutcome(t *testing.T) {
	e := fault.From(errors.New("broken pipe"))
	assert.Equal(t, e.Kind(), fault.Internal)
	assert.Equal(t, e.Outcome(), fault.Unknown)
}

func ExampleNewf() {
	err := errors.Wrap(fault.Newf(fault.NoTarget, "service %q", "socket-board"), "send call")
	fmt.Println(err, "/", fault.From(err).Outcome())
	// Output: send call: no-target: service "socket-board" / not-executed
}
