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

// body is the JSON form of an error.
type body struct {
	Error     string `json:"error"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
	Detail    string `json:"detail"`
}

// WriteError writes the whole answer for cause: status, outcome, kind and a JSON body.
func WriteError(w http.ResponseWriter, id string, cause error) {
	e := fault.From(cause)
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "application/json")
	h.Set(RequestID, id)
	h.Set(Outcome, e.Outcome().String())
	h.Set(Error, e.Kind().String())
	h.Set(Detail, strconv.QuoteToASCII(shorten(e.Detail())))
	if d := e.RetryAfter(); d > 0 {
		h.Set(RetryAfterMS, strconv.FormatInt(d.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(e.Kind().Properties().Status)
	b, err := json.Marshal(body{
		Error: e.Kind().String(), Outcome: e.Outcome().String(), RequestID: id, Detail: e.Detail(),
	})
	if err != nil {
		return // four strings always have a JSON form
	}
	_, _ = w.Write(append(b, '\n')) // the caller may have gone; there is nobody left to tell
}

// ReadError returns the error that an answer carries, or nil when it carries none. The outcome is the one that the
// answer states, because a node may know more than the kind alone says.
func ReadError(h http.Header) *fault.Error {
	name := h.Get(Error)
	if name == "" {
		return nil
	}
	k, ok := fault.ParseKind(name)
	if !ok {
		return fault.Newf(fault.Internal, "answer has unknown error kind %q", name)
	}
	detail, err := strconv.Unquote(h.Get(Detail))
	if err != nil {
		detail = "reported by the next node"
	}
	e := fault.New(k, shorten(detail))
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

// maxRetryAfterMS is an hour. A longer wait is of no use to a call, and one near the largest integer overflows.
const maxRetryAfterMS = 3_600_000

// shorten bounds a detail, which can hold text from outside.
func shorten(s string) string {
	const most = 300
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "") + "..."
}

// WriteLoad sets the load report of an answer: in flight, queued, limit, age in milliseconds.
func WriteLoad(h http.Header, l mustardmast.Load) {
	h.Set(Load, strconv.FormatUint(uint64(l.InFlight), 10)+","+strconv.FormatUint(uint64(l.Queued), 10)+","+
		strconv.FormatUint(uint64(l.Limit), 10)+","+strconv.FormatInt(l.Age.Milliseconds(), 10))
}

// ReadLoad returns the load report of an answer.
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
