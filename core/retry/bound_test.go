package retry_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/retry"
)

const hopRetries = 3

// node is one call in the call tree of a request without retries.
type node struct {
	children   []*node
	sequential bool
}

func (n *node) size() int {
	s := 1
	for _, c := range n.children {
		s += c.size()
	}
	return s
}

// draw generates a random call tree with at most left further calls.
func draw(t *rapid.T, depth int, left *int) *node {
	n := &node{sequential: rapid.Bool().Draw(t, "sequential")}
	if depth == 8 {
		return n
	}
	for range rapid.IntRange(0, 3).Draw(t, "children") {
		if *left == 0 {
			break
		}
		*left--
		n.children = append(n.children, draw(t, depth+1, left))
	}
	return n
}

// run executes a request with random failures and counts executions and retries.
type run struct {
	rng        *rand.Rand
	fail, lose float64 // probability that an execution fails, and that its unused budget is not returned
	naive      bool    // every hop retries independently, without a budget
	executions int
	retries    int
}

// send makes one call, with retries by the hop that holds b.
func (r *run) send(n *node, b *retry.Budget, sequential bool) bool {
	for attempt := 0; ; attempt++ {
		g := b.Grant(sequential)
		ok, unused := r.execute(n, g.Units())
		if r.rng.Float64() >= r.lose {
			g.Return(unused)
		}
		if ok || attempt == hopRetries || !r.takeRetry(b) {
			return ok
		}
	}
}

// takeRetry reports whether another retry is allowed, and counts it.
func (r *run) takeRetry(b *retry.Budget) bool {
	if !r.naive && !b.Take() {
		return false
	}
	r.retries++
	return true
}

// execute executes one call and its sub-calls.
func (r *run) execute(n *node, units int) (ok bool, unused int) {
	r.executions++
	b := retry.NewBudget(units)
	ok = true
	if n.sequential {
		for _, c := range n.children {
			ok = ok && r.send(c, b, true)
		}
	} else {
		ok = r.parallel(n.children, b)
	}
	return ok && r.rng.Float64() >= r.fail, b.Left()
}

// parallel grants units to all sub-calls before any of them completes, then retries the failed ones.
func (r *run) parallel(l []*node, b *retry.Budget) bool {
	grants := make([]*retry.Grant, len(l))
	for i := range l {
		grants[i] = b.Grant(false)
	}
	all := true
	for i, c := range l {
		ok, unused := r.execute(c, grants[i].Units())
		grants[i].Return(unused)
		for attempt := 0; !ok && attempt < hopRetries && r.takeRetry(b); attempt++ {
			g := b.Grant(false)
			ok, unused = r.execute(c, g.Units())
			g.Return(unused)
		}
		all = all && ok
	}
	return all
}

// Guards against retries that multiply over hops: a request causes at most S + R*M executions and R retries.
func TestExecutionsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := 60
		root := draw(t, 1, &left)
		budget := rapid.IntRange(0, 6).Draw(t, "budget")
		r := &run{
			rng:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			fail: rapid.Float64Range(0, 1).Draw(t, "fail"),
			lose: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lose"),
		}
		b := retry.NewBudget(budget)
		r.send(root, b, true)
		s := root.size()
		assert.Assert(t, r.retries <= budget, "%d retries with a budget of %d", r.retries, budget)
		assert.Assert(t, r.executions <= s+budget*s, "%d executions, S=%d R=%d", r.executions, s, budget)
		assert.Assert(t, b.Left()+r.retries <= budget, "more units than the budget")
	})
}

// Guards against a bound that holds for any policy and therefore checks nothing: independent retries per hop must
// exceed it.
func TestIndependentRetriesPerHopExceedBound(t *testing.T) {
	root := &node{}
	for range 7 {
		root = &node{children: []*node{root}, sequential: true}
	}
	bound := root.size() + hopRetries*root.size()
	for _, naive := range []bool{false, true} {
		r := &run{rng: rand.New(rand.NewPCG(1, 1)), fail: 1, naive: naive}
		r.send(root, retry.NewBudget(hopRetries), true)
		assert.Equal(t, r.executions > bound, naive, "naive=%t: %d executions, bound %d", naive, r.executions, bound)
		t.Logf("naive=%t: %d executions of a chain of 8, bound %d", naive, r.executions, bound)
	}
}

// Guards against a response that returns units twice, or more units than were granted.
func TestReturnedUnitsAreBounded(t *testing.T) {
	b := retry.NewBudget(3)
	g := b.Grant(false)
	assert.Equal(t, g.Units(), 2)
	g.Return(100)
	g.Return(2)
	assert.Equal(t, b.Left(), 3)
}
