// Package client sends requests to mustardmast nodes on behalf of a caller.
//
// A Client has several node addresses and uses one until it fails. Each request has an id that stays the same over all
// its sends. For a request that must not run twice, the id is issued by a node; ids are fetched ahead, in batches. Only
// the node that issued the id can start the request, so sends through other nodes cannot start it a second time. An
// idempotent request gets a random id from the client.
//
// Do returns a response only if it is complete and has the id of the request. Otherwise it returns an *Error with the
// kind, the outcome and what the caller may do. Do retries a request only if a response states that it was not
// executed, or if it is idempotent, and only within its deadline, its retry budget and the retry ratio of the service.
// A caller can retry a request whose outcome is unknown with the same id: the request runs at most once, and the
// response reports its outcome.
//
// The retry budget that is sent with a request covers the whole call chain below the node. The client grants half of
// its budget and keeps the rest for its own retries. Units that a response returns unused are available to later
// retries; units granted to a send whose connection breaks count as used.
//
// The HTTP API, for callers that cannot use this package, is described in docs/caller-api.md.
package client
