// Package fault defines the closed set of error kinds and how each of them is reported to callers.
//
// Every error that leaves a node has exactly one kind. The kind determines the HTTP status, the outcome that is
// reported to the caller, and whether the same request may be sent again. The outcome is a guarantee: NotExecuted is
// used only for kinds that are raised before any byte of the request could have reached a target, or that the target
// itself reported before it started the request.
package fault

import "net/http"

// Outcome is what is reported to a caller about the execution of its request.
type Outcome uint8

// Outcomes.
const (
	Unknown Outcome = iota
	NotExecuted
	Executed
)

// String returns the name used in headers and logs.
func (o Outcome) String() string {
	switch o {
	case NotExecuted:
		return "not-executed"
	case Executed:
		return "executed"
	default:
		return "unknown"
	}
}

// Kind identifies one entry of the closed set of error kinds.
type Kind uint8

// Error kinds. None is success.
const (
	None Kind = iota
	BadRequest
	RequestIDNotIssued
	RequestIDReused
	RequestIDExpired
	CallKeyMissing
	UnknownService
	UnknownMethod
	LoopDetected
	DepthExceeded
	DeadlinePassed
	DeadlineExceeded
	Shed
	QueueFull
	Draining
	NotReady
	NoTarget
	WrongIncarnation
	Fenced
	Quarantined
	TargetFailed
	TargetRefused
	AnswerCut
	PeerUnreachable
	PeerLost
	OutcomeUnknown
	AlreadyExecuted
	InProgress
	LedgerFull
	RetryBudgetExhausted
	Canceled
	NotFound
	Conflict
	ConfigInvalid
	PlatformUnavailable
	WriteUnknown
	Internal
	numKinds
)

// Properties describes how an error kind is reported to a caller.
type Properties struct {
	Name      string
	Status    int
	Outcome   Outcome
	Retryable bool // the same request may be sent again, whether idempotent or not
	Meaning   string
}

// StatusCanceled is the status of a call that was canceled by its caller. The caller itself never sees it.
const StatusCanceled = 499

var kindTable = [numKinds]Properties{
	None:                 {"none", http.StatusOK, Executed, false, "success"},
	BadRequest:           {"bad-request", http.StatusBadRequest, NotExecuted, false, "a header or the path is malformed"},
	RequestIDNotIssued:   {"request-id-not-issued", http.StatusBadRequest, NotExecuted, false, "a non-idempotent request needs an issued request id"},
	RequestIDReused:      {"request-id-reused", http.StatusConflict, NotExecuted, false, "the request id belongs to another request"},
	RequestIDExpired:     {"request-id-expired", http.StatusGone, Unknown, false, "the request id is past its window; this attempt was not started"},
	CallKeyMissing:       {"call-key-missing", http.StatusBadRequest, NotExecuted, false, "a non-idempotent call below an idempotent one needs a call key"},
	UnknownService:       {"unknown-service", http.StatusNotFound, NotExecuted, false, "the configuration has no such service"},
	UnknownMethod:        {"unknown-method", http.StatusNotFound, NotExecuted, false, "the service has no such method"},
	LoopDetected:         {"loop-detected", http.StatusLoopDetected, NotExecuted, false, "the service is already on the path of the call"},
	DepthExceeded:        {"depth-exceeded", http.StatusLoopDetected, NotExecuted, false, "the chain is deeper than allowed"},
	DeadlinePassed:       {"deadline-passed", http.StatusGatewayTimeout, NotExecuted, false, "the deadline passed before the request started"},
	DeadlineExceeded:     {"deadline-exceeded", http.StatusGatewayTimeout, Unknown, false, "the deadline passed while the request ran"},
	Shed:                 {"shed", http.StatusServiceUnavailable, NotExecuted, true, "load was shed; see retry-after-ms"},
	QueueFull:            {"queue-full", http.StatusServiceUnavailable, NotExecuted, true, "the queue in front of the target is full"},
	Draining:             {"draining", http.StatusServiceUnavailable, NotExecuted, true, "the target or node is leaving"},
	NotReady:             {"not-ready", http.StatusServiceUnavailable, NotExecuted, true, "the node has no target or no configuration yet"},
	NoTarget:             {"no-target", http.StatusServiceUnavailable, NotExecuted, true, "no target of the service is reachable"},
	WrongIncarnation:     {"wrong-incarnation", http.StatusMisdirectedRequest, NotExecuted, true, "the call was addressed to an earlier process on this address"},
	Fenced:               {"fenced", http.StatusConflict, NotExecuted, false, "the owner of the request has withdrawn this attempt"},
	Quarantined:          {"quarantined", http.StatusUnprocessableEntity, NotExecuted, false, "requests like this one have crashed targets"},
	TargetFailed:         {"target-failed", http.StatusBadGateway, Unknown, false, "the connection to the target broke, or its answer is malformed"},
	TargetRefused:        {"target-refused", http.StatusServiceUnavailable, NotExecuted, true, "the target refused before it started"},
	AnswerCut:            {"answer-cut", http.StatusBadGateway, Unknown, false, "the answer broke off before its end"},
	PeerUnreachable:      {"peer-unreachable", http.StatusServiceUnavailable, NotExecuted, true, "no connection to the target's node"},
	PeerLost:             {"peer-lost", http.StatusBadGateway, Unknown, false, "the connection to the target's node broke"},
	OutcomeUnknown:       {"outcome-unknown", http.StatusBadGateway, Unknown, false, "the request may have run earlier; this attempt did not start it"},
	AlreadyExecuted:      {"already-executed", http.StatusConflict, Executed, false, "the request ran earlier and its answer is no longer held"},
	InProgress:           {"in-progress", http.StatusConflict, Unknown, false, "an earlier attempt is still running"},
	LedgerFull:           {"ledger-full", http.StatusServiceUnavailable, NotExecuted, true, "no room to record another non-idempotent request"},
	RetryBudgetExhausted: {"retry-budget-exhausted", http.StatusServiceUnavailable, NotExecuted, false, "the request has no retries left"},
	Canceled:             {"canceled", StatusCanceled, Unknown, false, "the caller gave up"},
	NotFound:             {"not-found", http.StatusNotFound, NotExecuted, false, "the object does not exist"},
	Conflict:             {"conflict", http.StatusConflict, NotExecuted, false, "another change came first"},
	ConfigInvalid:        {"config-invalid", http.StatusBadRequest, NotExecuted, false, "the configuration has faults"},
	PlatformUnavailable:  {"platform-unavailable", http.StatusServiceUnavailable, NotExecuted, true, "the platform does not answer"},
	WriteUnknown:         {"write-unknown", http.StatusBadGateway, Unknown, false, "the write may have taken effect"},
	Internal:             {"internal", http.StatusInternalServerError, Unknown, false, "a fault of the node itself"},
}

// Properties returns the properties of k. Values outside the closed set have the properties of Internal.
func (k Kind) Properties() Properties {
	if k >= numKinds {
		return kindTable[Internal]
	}
	return kindTable[k]
}

// String returns the name used in headers and logs.
func (k Kind) String() string { return k.Properties().Name }

// Kinds returns all error kinds except None.
func Kinds() []Kind {
	ks := make([]Kind, 0, numKinds-1)
	for k := None + 1; k < numKinds; k++ {
		ks = append(ks, k)
	}
	return ks
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	for k, p := range kindTable {
		if p.Name == name {
			return Kind(k), true
		}
	}
	return Internal, false
}
