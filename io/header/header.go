// Package header is the codec between a call and the headers of its HTTP request and answer.
//
// The same headers are used by callers, by targets for the next hop of a chain, and between nodes. Times travel as a
// rest of time in milliseconds, because hosts do not share a clock.
package header

// Request headers.
const (
	RequestID   = "Mustardmast-Request-Id"
	Attempt     = "Mustardmast-Attempt"
	Priority    = "Mustardmast-Priority"
	Backer      = "Mustardmast-Backer"
	DeadlineMS  = "Mustardmast-Deadline-Ms"
	RetryBudget = "Mustardmast-Retry-Budget" // also on answers: the unused part
	Depth       = "Mustardmast-Depth"
	Path        = "Mustardmast-Path"
	CallKey     = "Mustardmast-Call-Key"
)

// Headers between nodes only. A node removes them from what callers and targets send.
const (
	Idempotent  = "Mustardmast-Idempotent" // as the sender's configuration has it, so that both ends agree
	Long        = "Mustardmast-Long"
	Digest      = "Mustardmast-Digest"      // of the content, hexadecimal
	Incarnation = "Mustardmast-Incarnation" // node incarnation that the call is addressed to, hexadecimal
	Withheld    = "Mustardmast-Withheld"    // calls refused on the receiver's behalf since the last one
	Nonce       = "Mustardmast-Nonce"       // the owner's dispatch number
)

// Answer headers.
const (
	Outcome        = "Mustardmast-Outcome"
	Error          = "Mustardmast-Error"
	Detail         = "Mustardmast-Detail" // what was wrong, for people; quoted ASCII
	RetryAfterMS   = "Mustardmast-Retry-After-Ms"
	AdmissionLevel = "Mustardmast-Admission-Level"
	Load           = "Mustardmast-Load"
	Executed       = "Mustardmast-Executed" // from targets: "false" when a request was refused before it started
)

// Prefix starts every header of this project.
const Prefix = "Mustardmast-"
