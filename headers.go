package mustardmast

// HeaderNames are the names of the header fields that callers, nodes and targets share. A platform adapter fills them
// in, so that the data path does not depend on one platform's spelling.
type HeaderNames struct {
	RequestID        string // identifies one attempt of a caller; a target repeats it in its answer
	TimeLeft         string // milliseconds that the caller will still wait
	Caller           string // service on the host where the request started
	ExpectedLifetime string // lifetime of the target that may run the request
	NotExecuted      string // in an answer: the target did not run the request
	Lifetime         string // in an answer: lifetime of the target that gave it
	Load             string // in an answer: load of the target
	RetryAfter       string // seconds after which a caller should come back
}

// TargetLoad is what a target tells of its load in an answer.
type TargetLoad struct {
	Running, Waiting, Slots int
	Slowdown                float64 // duration of work now over its usual duration
}
