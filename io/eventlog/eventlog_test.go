package eventlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mustardmast/io/eventlog"
)

// Guards against events that are missing from the page or differ from it.
func TestPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	rows := 0
	for e, r := range eventlog.Events {
		line := fmt.Sprintf("| MM%d | %s | %s | %s |", e, r.Level, r.Name, r.Meaning)
		assert.Assert(t, strings.Contains(string(page), line), "docs/events.md lacks the line\n%s", line)
		rows++
	}
	assert.Equal(t, strings.Count(string(page), "| MM"), rows, "docs/events.md has rows without an event")
}

func ExampleLog() {
	l := eventlog.New(zap.NewExample())
	l.Write(eventlog.Stopped, zap.String("node", "host-1"))
	// Output: {"level":"info","msg":"stopped","node":"host-1","event":"MM102"}
}
