package header

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error     string `json:"error"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
	Detail    string `json:"detail"`
}

// WriteError writes a complete error response for cause: status, headers with outcome and kind, and a JSON body.
func WriteError(w http.ResponseWriter, id string, cause error) {
	e := fault.From(cause)
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "application/json")
	h.Set(RequestID, id)
	h.Set(Outcome, e.Outcome().String())
	h.Set(Error, e.Kind().String())
	h.Set(Detail, strconv.QuoteToASCII(truncate(e.Detail())))
	if d := e.RetryAfter(); d > 0 {
		h.Set(RetryAfterMS, strconv.FormatInt(d.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(e.Kind().Properties().Status)
	b, err := json.Marshal(errorBody{
		Error: e.Kind().String(), Outcome: e.Outcome().String(), RequestID: id, Detail: e.Detail(),
	})
	if err != nil {
		return // cannot happen for a struct of strings
	}
	_, _ = w.Write(append(b, '\n')) // fails only if the caller has disconnected
}

// ReadError returns the error in a response's headers, or nil if there is none. The outcome is taken from the response,
// because the node that sent it may know more than the kind implies.
func ReadError(h http.Header) *fault.Error {
	name := h.Get(Error)
	if name == "" {
		return nil
	}
	k, ok := fault.ParseKind(name)
	if !ok {
		return fault.Newf(fault.Internal, "response has unknown error kind %q", name)
	}
	detail, err := strconv.Unquote(h.Get(Detail))
	if err != nil {
		detail = "reported by the next node"
	}
	e := fault.New(k, truncate(detail))
	switch h.Get(Outcome) {
	case fault.NotExecuted.String():
		e = e.WithOutcome(fault.NotExecuted)
	case fault.Executed.String():
		e = e.WithOutcome(fault.Executed)
	default:
		e = e.WithOutcome(fault.Unknown)
	}
	if ms, err := strconv.Atoi(h.Get(RetryAfterMS)); err == nil && ms > 0 && ms <= maxRetryAfterMS {
		e = e.WithRetryAfter(time.Duration(ms) * time.Millisecond)
	}
	return e
}

// maxRetryAfterMS is one hour. A longer wait is of no use to a call, and one near the largest integer overflows.
const maxRetryAfterMS = 3_600_000

// truncate limits the length of an error detail, which can contain external text.
func truncate(s string) string {
	const maxLength = 300
	if len(s) <= maxLength {
		return s
	}
	return strings.ToValidUTF8(s[:maxLength], "") + "..."
}

// WriteLoad sets the load report of a response: calls in flight, calls queued, limit, age in milliseconds.
func WriteLoad(h http.Header, l mustardmast.Load) {
	h.Set(Load, strconv.FormatUint(uint64(l.InFlight), 10)+","+strconv.FormatUint(uint64(l.Queued), 10)+","+
		strconv.FormatUint(uint64(l.Limit), 10)+","+strconv.FormatInt(l.Age.Milliseconds(), 10))
}

// ReadLoad returns the load report of a response. It returns false if there is none or it is malformed.
func ReadLoad(h http.Header) (mustardmast.Load, bool) {
	parts := strings.Split(h.Get(Load), ",")
	if len(parts) != 4 {
		return mustardmast.Load{}, false
	}
	var n [4]uint32
	for i, p := range parts {
		v, err := strconv.ParseUint(p, 10, 32)
		if err != nil {
			return mustardmast.Load{}, false
		}
		n[i] = uint32(v)
	}
	return mustardmast.Load{InFlight: n[0], Queued: n[1], Limit: n[2], Age: time.Duration(n[3]) * time.Millisecond}, true
}
