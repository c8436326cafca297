// Package mustardmast holds the interfaces between the parts of an overload control layer for service call graphs.
//
// A node runs on every target host. It admits calls to its own target, chooses targets for calls that leave the
// host, and answers each caller with the true outcome of its request. The decisions are made by pure packages below
// core: events and an explicit time go in, verdicts come out. The packages below io connect them to one kind of peer
// each: callers, targets, other nodes, the platform's object API and operators.
//
// The interfaces here are the places where behaviour varies. Implementations are in the packages below.
package mustardmast
