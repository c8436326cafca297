// Package retry bounds the retries of one request over a whole call graph.
//
// A request enters with a budget of R units. A retry at any hop takes one unit. A hop that makes a sub-call grants it
// some of its own units and gets the unused ones back; a grant that is never returned counts as spent. No operation
// adds units, so at any time the units held by all hops, the units in transit and the retries made add up to at most R.
//
// Worst case: let S be the number of calls that a request makes without retries, and M the largest number of calls in
// the subtree of one call without retries. One retry repeats at most one subtree, and the retries inside the repeated
// subtree are taken from the same R. A request therefore causes at most
//
//	S + R*M
//
// executions, independent of the depth. Without a shared budget, r retries at each of d hops cause (1+r)^d executions
// of the deepest call: 65,536 for r=3 and d=8.
//
// The per-request budget does not protect an edge of the call graph on which every request fails once. For that, a
// Ratio limits the retries on each edge to a percentage of its successful first attempts plus a small constant rate. A
// Policy combines both with the rule on outcomes: a request is retried only if it was not executed or its method is
// idempotent.
package retry
