// Package client sends requests to mustardmast nodes on behalf of a caller.
//
// A Client knows several node addresses and uses one until it fails. Each request has an id that stays the same over
// all its sends. For a request that must not run twice the id is issued by a node beforehand, in batches; the node
// that issued it is the only one that can start the request, so sends through other nodes cannot start it again. An
// idempotent request gets a random id of the client's own.
//
// Do returns a response only if it is complete and carries the request's id. Every other end is an *Error that states
// the kind, the outcome and what the caller may do. Do sends a request again by itself only if an answer says that it
// was not executed, or if it is idempotent, and only within its deadline, its retry budget and the share of retries
// per service. A request whose outcome is unknown can be sent again by the caller with the same id: it runs at most
// once, and the answer tells what became of it.
//
// The budget that travels with a request covers the whole chain below the node. The client grants half of what it has
// and keeps the rest for its own sends; what an answer returns unused may be spent on the next send, and what is lost
// with a connection is spent.
//
// Callers that cannot use this package find the plain HTTP contract in docs/caller-api.md.
package client
