package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// ReadCall fills s from the headers of a request. Headers that are absent leave s as it is, so the caller sets
// defaults first. A bad value is refused with an error that names the header, the value and what is allowed.
func ReadCall(h http.Header, now time.Time, s *call.Spec) error {
	r := reader{h: h}
	r.text(RequestID, call.MaxIDLength, &s.ID)
	r.text(Backer, call.MaxNameLength, &s.Backer)
	r.text(CallKey, call.MaxNameLength, &s.Key)
	r.number(Attempt, 1, call.MaxAttempt, &s.Attempt)
	r.number(RetryBudget, 0, call.MaxRetries, &s.Retries)
	r.number(Depth, 1, call.MaxRetries, &s.Depth)
	if v := h.Get(Priority); v != "" {
		p, ok := call.ParsePriority(v)
		if !ok {
			r.fail(Priority, v, "critical, high, normal or low")
		}
		s.Priority = p
	}
	ms := -1
	r.number(DeadlineMS, 0, int(24*time.Hour/time.Millisecond), &ms)
	if ms >= 0 {
		s.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := h.Get(Path); v != "" {
		s.Path = strings.Split(v, ",")
	}
	if r.err != nil {
		return r.err
	}
	return nil
}

// WriteCall sets the headers that carry c to the next hop. The deadline is written as the rest of time at now.
func WriteCall(h http.Header, now time.Time, c call.Call) {
	h.Set(RequestID, c.ID())
	h.Set(Attempt, strconv.Itoa(c.Attempt()))
	h.Set(Priority, c.Priority().String())
	h.Set(Backer, c.Backer())
	h.Set(RetryBudget, strconv.Itoa(c.Retries()))
	h.Set(Depth, strconv.Itoa(c.Depth()))
	h.Set(Path, strings.Join(c.Path(), ","))
	if c.Key() != "" {
		h.Set(CallKey, c.Key())
	} else {
		h.Del(CallKey)
	}
	if c.Deadline().IsZero() {
		h.Del(DeadlineMS)
		return
	}
	left := max(c.Deadline().Sub(now), 0)
	h.Set(DeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
}

// reader keeps the first bad value it meets.
type reader struct {
	h   http.Header
	err *fault.Error
}

func (r *reader) fail(name, value, allowed string) {
	if r.err == nil {
		r.err = fault.Newf(fault.BadRequest, "header %s has value %q; allowed: %s", strings.ToLower(name), value, allowed)
	}
}

func (r *reader) number(name string, least, most int, to *int) {
	v := r.h.Get(name)
	if v == "" {
		return
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		r.fail(name, v, "a whole number from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return
	}
	*to = n
}

func (r *reader) text(name string, most int, to *string) {
	v := r.h.Get(name)
	if v == "" {
		return
	}
	if len(v) > most || strings.ContainsFunc(v, notPlain) {
		r.fail(name, v[:min(len(v), most)], "at most "+strconv.Itoa(most)+" letters, digits, or any of - _ . / : @")
		return
	}
	*to = v
}

func notPlain(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("-_./:@", c)
}
