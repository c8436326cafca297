package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// ReadCall sets the fields of s from the headers of a request. Absent headers leave their fields unchanged, so s can be
// initialized with defaults. The error for an invalid value states the header, the value and the allowed values.
func ReadCall(h http.Header, now time.Time, s *call.Spec) error {
	r := fieldReader{h: h}
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

// WriteCall sets the headers that carry c to the next hop. The deadline is written as the remaining time at now.
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
	remaining := max(c.Deadline().Sub(now), 0)
	h.Set(DeadlineMS, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// fieldReader parses header fields and keeps the error of the first invalid one.
type fieldReader struct {
	h   http.Header
	err *fault.Error
}

func (r *fieldReader) fail(name, value, allowed string) {
	if r.err == nil {
		r.err = fault.Newf(fault.BadRequest, "header %s has value %q; allowed: %s", strings.ToLower(name), value, allowed)
	}
}

func (r *fieldReader) number(name string, minValue, maxValue int, to *int) {
	v := r.h.Get(name)
	if v == "" {
		return
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minValue || n > maxValue {
		r.fail(name, v, "a whole number from "+strconv.Itoa(minValue)+" to "+strconv.Itoa(maxValue))
		return
	}
	*to = n
}

func (r *fieldReader) text(name string, maxLength int, to *string) {
	v := r.h.Get(name)
	if v == "" {
		return
	}
	if len(v) > maxLength || strings.ContainsFunc(v, isForbidden) {
		r.fail(name, v[:min(len(v), maxLength)], "at most "+strconv.Itoa(maxLength)+" letters, digits, or any of - _ . / : @")
		return
	}
	*to = v
}

func isForbidden(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("-_./:@", c)
}
