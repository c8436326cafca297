package history_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
	"mustardmast/internal/history"
)

// Guards against a checker that accepts a history of a request that the model forbids, or rejects one that it allows.
func TestRequestsModel(t *testing.T) {
	for name, c := range map[string]struct {
		run func(q *history.Requests)
		ok  bool
	}{
		"executed twice": {func(q *history.Requests) {
			q.Send("a", 1)
			q.Execute("a", "x").End()
			q.Execute("a", "x").End()
		}, false},
		"reported as not executed, then executed": {func(q *history.Requests) {
			q.Send("a", 1).RecordOutcome(fault.NotExecuted, "")
			q.Execute("a", "x").End()
		}, false},
		"executed, then reported as not executed": {func(q *history.Requests) {
			s := q.Send("a", 1)
			q.Execute("a", "x").End()
			s.RecordOutcome(fault.NotExecuted, "")
		}, false},
		"an earlier send executed after a later one was reported as not executed": {func(q *history.Requests) {
			q.Send("a", 1).RecordOutcome(fault.Unknown, "")
			q.Send("a", 2).RecordOutcome(fault.NotExecuted, "")
			q.Execute("a", "x").End()
		}, false},
		"response of another execution": {func(q *history.Requests) {
			s := q.Send("a", 1)
			q.Execute("a", "x").End()
			s.RecordOutcome(fault.Executed, "y")
		}, false},
		"reported as executed without an execution": {func(q *history.Requests) { q.Send("a", 1).RecordOutcome(fault.Executed, "") }, false},
		"retry after not executed": {func(q *history.Requests) {
			q.Send("a", 1).RecordOutcome(fault.NotExecuted, "")
			s := q.Send("a", 2)
			q.Execute("a", "x")
			s.RecordOutcome(fault.Executed, "x")
		}, true},
		"unknown, then executed": {func(q *history.Requests) {
			q.Send("a", 1).RecordOutcome(fault.Unknown, "")
			q.Execute("a", "x").End()
			q.Send("a", 2).RecordOutcome(fault.Executed, "")
			q.Send("b", 1)
		}, true},
	} {
		q := &history.Requests{}
		c.run(q)
		assert.Equal(t, q.Check() == nil, c.ok, "%s: %v", name, q.Check())
	}
}

// Guards against a checker that accepts a configuration that reverts, or rejects a node that lags behind.
func TestGenerationsModel(t *testing.T) {
	for name, c := range map[string]struct {
		run func(g *history.Generations)
		ok  bool
	}{
		"revert": {func(g *history.Generations) {
			g.Write(1, "a").Accepted()
			g.Write(2, "b").Accepted()
			g.Read("n").Returned(2, "b")
			g.Read("n").Returned(1, "a")
		}, false},
		"in force before it was written": {func(g *history.Generations) {
			g.Read("n").Returned(1, "a")
			g.Write(1, "a").Accepted()
		}, false},
		"rejected change in force": {func(g *history.Generations) {
			g.Write(1, "a").Rejected()
			g.Read("n").Returned(1, "a")
		}, false},
		"one generation for two changes": {func(g *history.Generations) {
			g.Write(1, "a").Accepted()
			g.Write(1, "b").Accepted()
		}, false},
		"lag, and a write of unknown outcome": {func(g *history.Generations) {
			g.Write(1, "a").Accepted()
			g.Write(2, "b")
			g.Read("m").Returned(2, "b")
			g.Read("n").Returned(1, "a")
			g.Write(3, "c").Accepted()
			g.Read("n").Returned(3, "c")
			g.Read("m").Returned(2, "b")
		}, true},
	} {
		g := &history.Generations{}
		c.run(g)
		assert.Equal(t, g.Check() == nil, c.ok, "%s: %v", name, g.Check())
	}
}

func ExampleRequests() {
	q := &history.Requests{}
	s := q.Send("a1", 1)
	s.RecordOutcome(fault.Unknown, "") // the caller lost its connection

	q.Execute("a1", "plugged in").End() // counted at the target
	fmt.Println(q.Check())

	q.Execute("a1", "plugged in").End()
	fmt.Println(q.Check() != nil)
	// Output:
	// <nil>
	// true
}

func ExampleGenerations() {
	g := &history.Generations{}
	g.Write(1, "add quarry-yard").Accepted()
	g.Read("node-1").Returned(1, "add quarry-yard")
	fmt.Println(g.Check())
	// Output: <nil>
}
