// Package balance chooses the member of a service that a call is sent to.
//
// A Balancer keeps, per service, a small subset of the members that serve it, which bounds the number of connections in
// a large fleet. The subset is chosen by rendezvous hashing of this node and the member: it is stable, and a member
// that joins or leaves replaces at most one entry. Half of the subset comes from the local failure domain and the rest
// is distributed over the other domains, so that members remain when a whole domain is lost.
//
// Within a failure domain the Balancer draws two members at random and takes the one with the lower cost. The cost of a
// member is its latency (an average that rises quickly and falls slowly) times its calls in flight, divided by its
// slots. The calls in flight are those of this node plus those that the member last reported for other nodes, weighted
// down with the age of the report; a stale report is ignored. The local domain is preferred until its predicted
// latency, which rises steeply before the domain is full, exceeds that of the other domains by a margin; from then on a
// growing fraction of the calls is sent to the other domains.
//
// A member is ejected if it has not answered for longer than its latency and its calls in flight explain, while others
// answer. So is a member whose latency is a multiple of the median, or that refused connections. At most half of the
// subset's members of a domain are ejected at a time, so that ejection never empties a domain. Ejected members get a
// small fraction of the calls as probes.
//
// The package is pure: time is passed in with each call and random numbers come from a seed. State is sharded by
// service.
package balance
