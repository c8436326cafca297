package mustardmast

// HeaderNames are the names of the header fields that callers, nodes and targets use. The platform adapter sets them,
// so that the data path does not depend on the names of one platform.
type HeaderNames struct {
	RequestID        string // identifies one attempt of a caller; a target echoes it in its response
	TimeLeft         string // milliseconds until the caller's deadline
	Caller           string // service on the host where the request entered the system
	ExpectedLifetime string // lifetime of the target that may run the request
	NotExecuted      string // in a response: the target did not run the request
	Lifetime         string // in a response: lifetime of the target that sent it
	Load             string // in a response: load of the target
	RetryAfter       string // seconds after which a caller should retry
}

// TargetLoad is the load that a target reports in a response.
type TargetLoad struct {
	Running, Waiting, Slots int
	Slowdown                float64 // current duration of requests divided by their usual duration
}

// TargetNotice is what a target states about itself in a response to a request.
type TargetNotice struct {
	Limited   bool    // the target limits the rate of its requests
	RateLimit float64 // requests per second from all nodes together, if Limited
	Leaving   bool    // the target is shutting down
}
