// Package balance chooses the member of a service that gets a call.
//
// A Balancer keeps, per service, a small subset of the members that serve it, so that the number of connections stays
// bounded in a large fleet. The subset is chosen by rendezvous hash of the own node and the member: it is stable, and
// a member that joins or leaves changes one place. Half of it comes from the own failure domain, the rest is spread
// over the others, so that the loss of a domain leaves members to choose from.
//
// Within a failure domain the choice is the cheaper of two members drawn at random. The cost of a member is its
// latency (an average that follows rises quickly and falls slowly) times its calls in flight in relation to its slots.
// The calls in flight are the own ones plus those that the member last reported for others, weighted down with the
// age of the report; an old report is ignored. The own domain is preferred until its predicted latency, which rises
// steeply before a domain is full, exceeds that of the others by a margin; then a growing share of calls leaves it.
//
// A member that has not answered for longer than its latency and calls in flight explain, while others answer, is
// passed over. So is one whose latency is a multiple of the median, or that refused connections. Ejection is bounded:
// at most half of the subset's members of a domain, so no domain is emptied by it. Ejected members get a small share
// of calls as probes.
//
// The package is pure: time comes in with each call and random numbers come from a seed. State is sharded by service.
package balance
