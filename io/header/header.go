// Package header encodes calls and their results in the headers of HTTP requests and responses.
//
// The same headers are used by callers, by targets for their sub-calls, and between nodes. A deadline is sent as the
// remaining time in milliseconds, because the clocks of hosts are not synchronized.
package header

// Request headers.
const (
	RequestID   = "Mustardmast-Request-Id"
	Attempt     = "Mustardmast-Attempt"
	Priority    = "Mustardmast-Priority"
	Backer      = "Mustardmast-Backer"
	DeadlineMS  = "Mustardmast-Deadline-Ms"
	RetryBudget = "Mustardmast-Retry-Budget" // in responses: the unused part
	Depth       = "Mustardmast-Depth"
	Path        = "Mustardmast-Path"
	CallKey     = "Mustardmast-Call-Key"
)

// Headers that are used between nodes only. A node removes them from the requests of callers and targets.
const (
	Idempotent  = "Mustardmast-Idempotent" // according to the sender's configuration, so that both nodes agree
	Long        = "Mustardmast-Long"
	Digest      = "Mustardmast-Digest"      // digest of the content, hexadecimal
	Incarnation = "Mustardmast-Incarnation" // node incarnation that the call is addressed to, hexadecimal
	Withheld    = "Mustardmast-Withheld"    // calls rejected on the receiver's behalf since the last call sent to it
	Nonce       = "Mustardmast-Nonce"       // the owner's dispatch number
)

// Response headers.
const (
	Outcome        = "Mustardmast-Outcome"
	Error          = "Mustardmast-Error"
	Detail         = "Mustardmast-Detail" // human-readable error detail, quoted ASCII
	RetryAfterMS   = "Mustardmast-Retry-After-Ms"
	AdmissionLevel = "Mustardmast-Admission-Level"
	Load           = "Mustardmast-Load"
	Executed       = "Mustardmast-Executed" // set by targets; "false" if a request was rejected before it started
)

// Prefix is the prefix of all headers of this project.
const Prefix = "Mustardmast-"
