package hostlink

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

// Header fields between nodes. A call and a report are one field each: a header with a dozen fields costs both nodes
// several times as much.
const (
	fieldCall   = "Mustardmast-Call"
	fieldReport = "Mustardmast-Report"
	fieldError  = "Mustardmast-Error"
)

// Flags of a call.
const (
	flagRepeatable = 1 << iota
	flagInner
	flagReturned
	flagBody
	flagRepeat
	flagOffered
)

// callHeader encodes a call. Times are sent as what is left of them, because hosts' clocks differ.
func callHeader(c *mustardmast.TargetCall, now time.Time) http.Header {
	h := make(http.Header, len(c.Header)+2)
	for name, values := range c.Header {
		h[name] = values
	}
	h[fieldCall] = []string{encodeCall(c, now)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // otherwise the client adds its own
	}
	return h
}

// The parts of a call in their order: texts, which are escaped, then numbers.
const (
	partID = iota
	partService
	partRoute
	partEntry
	partMethod
	partVersion
	partPriority
	partRank
	partKept
	partFlags
	partTimeLeft
	partHold
	callParts

	callTexts = partVersion
)

const partSeparator = " "

func encodeCall(c *mustardmast.TargetCall, now time.Time) string {
	flags := int64(0)
	for _, f := range [...]struct {
		set bool
		bit int64
	}{{c.Repeatable, flagRepeatable}, {c.Inner, flagInner}, {c.Returned, flagReturned}, {c.Body != nil, flagBody}, {c.Repeat, flagRepeat}, {c.Offered, flagOffered}} {
		if f.set {
			flags |= f.bit
		}
	}
	b := make([]byte, 0, callSize)
	for _, text := range [callTexts]string{partID: c.ID, partService: c.Service, partRoute: c.Route, partEntry: c.Entry, partMethod: c.Method} {
		b = append(append(b, url.QueryEscape(text)...), partSeparator...)
	}
	for i, n := range [...]int64{int64(c.Version), int64(c.Priority), int64(c.Rank), int64(max(1, c.Kept*keptScale)), flags,
		c.Deadline.Sub(now).Microseconds(), c.Hold.Microseconds()} {
		if i > 0 {
			b = append(b, partSeparator...)
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// callSize is the length in bytes of most encoded calls.
const callSize = 192

// decodeCall decodes a call that arrives now. It takes the fields of the request over.
func decodeCall(r *http.Request, now time.Time) (*mustardmast.TargetCall, error) {
	parts := strings.Split(r.Header.Get(fieldCall), partSeparator)
	if len(parts) != callParts {
		return nil, errors.Errorf("%s: %d parts in place of %d", fieldCall, len(parts), callParts)
	}
	for i, text := range parts[:callTexts] {
		var err error
		if parts[i], err = url.QueryUnescape(text); err != nil {
			return nil, errors.Wrapf(err, "%s: part %d", fieldCall, i)
		}
	}
	var numbers [callParts]int64
	for i := callTexts; i < callParts; i++ {
		var err error
		if numbers[i], err = strconv.ParseInt(parts[i], 10, 64); err != nil {
			return nil, errors.Wrapf(err, "%s: part %d", fieldCall, i)
		}
	}
	flags := numbers[partFlags]
	c := &mustardmast.TargetCall{
		ID: parts[partID], Service: parts[partService], Route: parts[partRoute], Entry: parts[partEntry], Method: parts[partMethod],
		URI: r.RequestURI, Host: r.Host, Version: uint64(numbers[partVersion]), Priority: int(numbers[partPriority]),
		Rank: int(numbers[partRank]), Kept: float64(max(1, numbers[partKept])) / keptScale,
		Repeatable: flags&flagRepeatable != 0, Inner: flags&flagInner != 0, Returned: flags&flagReturned != 0, Repeat: flags&flagRepeat != 0, Offered: flags&flagOffered != 0,
		Deadline: now.Add(time.Duration(numbers[partTimeLeft]) * time.Microsecond),
		Hold:     time.Duration(numbers[partHold]) * time.Microsecond,
		Header:   r.Header, Length: r.ContentLength,
	}
	if flags&flagBody != 0 {
		c.Body = r.Body
	}
	delete(c.Header, fieldCall)
	delete(c.Header, "Content-Length")
	if agent, ok := c.Header["User-Agent"]; ok && len(agent) == 1 && agent[0] == "" {
		delete(c.Header, "User-Agent")
	}
	return c, nil
}

const reportFields = 8

func encodeReport(r mustardmast.TargetReport) string {
	b := make([]byte, 0, 64)
	for _, n := range []int64{bit(r.Ready), int64(r.Limit), int64(r.Running), int64(r.Waiting), r.Duration.Microseconds(),
		int64(r.Level * levelScale), int64(r.Version), bit(r.Nested)} {
		b = append(strconv.AppendInt(b, n, 10), ',')
	}
	return string(b) + r.Service
}

// keptScale is in which parts the share of requests let through is sent.
const keptScale = 1000

// levelScale is in which parts a level is sent.
const levelScale = 1000

func bit(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

func decodeReport(text string) (mustardmast.TargetReport, bool) {
	parts := strings.SplitN(text, ",", reportFields+1)
	if len(parts) != reportFields+1 {
		return mustardmast.TargetReport{}, false
	}
	var n [reportFields]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(parts[i], 10, 64); err != nil {
			return mustardmast.TargetReport{}, false
		}
	}
	return mustardmast.TargetReport{
		Ready: n[0] == 1, Limit: int(n[1]), Running: int(n[2]), Waiting: int(n[3]),
		Duration: time.Duration(n[4]) * time.Microsecond, Level: float64(n[5]) / levelScale, Version: uint64(n[6]), Nested: n[7] == 1, Service: parts[reportFields],
	}, true
}

// The parts of an error in their order.
const (
	errorKind = iota
	errorOutcome
	errorRetryAfter
	errorDetail
	errorParts
)

// writeError encodes an error of the executing node.
func writeError(w http.ResponseWriter, err error) {
	f := fault.From(err)
	w.Header()[fieldError] = []string{strings.Join([]string{
		errorKind: f.Kind().String(), errorOutcome: f.Outcome().String(), errorRetryAfter: strconv.FormatInt(f.RetryAfter().Microseconds(), 10),
		errorDetail: strings.ToValidUTF8(strings.Map(printable, f.Detail()), "?"),
	}, partSeparator)}
	w.WriteHeader(f.Kind().Answer().Status)
}

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

// readError decodes an error of the executing node; nil if the answer is a target's.
func readError(h http.Header) error {
	text := h.Get(fieldError)
	if text == "" {
		return nil
	}
	parts := strings.SplitN(text, partSeparator, errorParts)
	if len(parts) != errorParts {
		return fault.Newf(fault.PeerLost, "%s: %q", fieldError, text).WithOutcome(fault.Unknown)
	}
	kind, _ := fault.Parse(parts[errorKind])
	f := fault.New(kind, parts[errorDetail]).WithOutcome(fault.Unknown)
	if parts[errorOutcome] == fault.NotExecuted.String() {
		f = f.WithOutcome(fault.NotExecuted)
	}
	if us, err := strconv.ParseInt(parts[errorRetryAfter], 10, 64); err == nil && us > 0 {
		f = f.WithRetryAfter(time.Duration(us) * time.Microsecond)
	}
	return f
}
