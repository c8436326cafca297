// Package retry bounds the retries of one request over a whole call graph.
//
// A request enters with a budget of R units. A retry, at whichever hop, takes one unit. A hop that makes a sub-call
// grants it part of its own units and gets back what was not used; a grant that never comes back counts as spent. No
// operation adds units, so at any moment the units held by all hops, the units under way and the retries made add up
// to at most R.
//
// Worst case. Let S be the number of calls that a request makes when nothing is retried, and M the largest number of
// calls in the subtree of one call when nothing is retried. One retry repeats one subtree at most, and the retries
// inside the repeated subtree are paid from the same R. A request therefore causes at most
//
//	S + R*M
//
// executions, whatever the depth. Without a shared budget, r retries at each of d hops make (1+r)^d executions of the
// deepest call: 65,536 for r=3 and d=8.
//
// The per-request budget does not protect an edge on which every request fails once. For that, a Ratio limits the
// retries on each edge to a percentage of its successful first attempts plus a small constant rate. A Policy joins
// both with the rule on outcomes: a request is sent again only if it was not executed or its method is idempotent.
package retry
