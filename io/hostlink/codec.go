package hostlink

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

// Header fields between nodes.
const (
	prefix          = "Mustardmast-"
	fieldService    = prefix + "Service"
	fieldRoute      = prefix + "Route"
	fieldEntry      = prefix + "Entry"
	fieldVersion    = prefix + "Version"
	fieldPriority   = prefix + "Priority"
	fieldRank       = prefix + "Rank"
	fieldKept       = prefix + "Kept"
	fieldFlags      = prefix + "Flags"
	fieldTimeLeft   = prefix + "Time-Left-Us"
	fieldHold       = prefix + "Hold-Us"
	fieldCallID     = prefix + "Call-Id"
	fieldMethod     = prefix + "Method"
	fieldReport     = prefix + "Report"
	fieldError      = prefix + "Error"
	fieldOutcome    = prefix + "Outcome"
	fieldDetail     = prefix + "Detail"
	fieldRetryAfter = prefix + "Retry-After-Us"
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
	h := make(http.Header, len(c.Header)+10)
	for name, values := range c.Header {
		h[name] = values
	}
	flags := 0
	for _, f := range []struct {
		set bool
		bit int
	}{{c.Repeatable, flagRepeatable}, {c.Inner, flagInner}, {c.Returned, flagReturned}, {c.Body != nil, flagBody}, {c.Repeat, flagRepeat}, {c.Offered, flagOffered}} {
		if f.set {
			flags |= f.bit
		}
	}
	h[fieldCallID] = []string{c.ID}
	h[fieldService] = []string{c.Service}
	h[fieldRoute] = []string{c.Route}
	h[fieldEntry] = []string{c.Entry}
	h[fieldVersion] = []string{strconv.FormatUint(c.Version, 10)}
	h[fieldPriority] = []string{strconv.Itoa(c.Priority)}
	h[fieldRank] = []string{strconv.Itoa(c.Rank)}
	h[fieldKept] = []string{strconv.Itoa(int(max(1, c.Kept*keptScale)))}
	h[fieldFlags] = []string{strconv.Itoa(flags)}
	h[fieldTimeLeft] = []string{micros(c.Deadline.Sub(now))}
	h[fieldHold] = []string{micros(c.Hold)}
	h[fieldMethod] = []string{c.Method}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // otherwise the client adds its own
	}
	return h
}

func micros(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// decodeCall decodes a call that arrives now.
func decodeCall(r *http.Request, now time.Time) (*mustardmast.TargetCall, error) {
	d := decoder{h: r.Header}
	flags := int(d.number(fieldFlags))
	c := &mustardmast.TargetCall{
		ID: r.Header.Get(fieldCallID), Service: r.Header.Get(fieldService), Route: r.Header.Get(fieldRoute),
		Entry: r.Header.Get(fieldEntry), Method: r.Header.Get(fieldMethod), URI: r.RequestURI, Host: r.Host,
		Version: uint64(d.number(fieldVersion)), Priority: int(d.number(fieldPriority)),
		Rank: int(d.number(fieldRank)), Kept: float64(max(1, d.number(fieldKept))) / keptScale,
		Repeatable: flags&flagRepeatable != 0, Inner: flags&flagInner != 0, Returned: flags&flagReturned != 0, Repeat: flags&flagRepeat != 0, Offered: flags&flagOffered != 0,
		Deadline: now.Add(time.Duration(d.number(fieldTimeLeft)) * time.Microsecond),
		Hold:     time.Duration(d.number(fieldHold)) * time.Microsecond,
		Header:   make(http.Header, len(r.Header)), Length: r.ContentLength,
	}
	if d.err != nil {
		return nil, d.err
	}
	if flags&flagBody != 0 {
		c.Body = r.Body
	}
	copyFields(c.Header, r.Header)
	c.Header.Del("Content-Length")
	if agent, ok := c.Header["User-Agent"]; ok && len(agent) == 1 && agent[0] == "" {
		delete(c.Header, "User-Agent")
	}
	return c, nil
}

// copyFields copies the fields that do not belong to the link.
func copyFields(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), prefix) {
			to[name] = values
		}
	}
}

// decoder reads fields and keeps the first error.
type decoder struct {
	h   http.Header
	err error
}

func (d *decoder) number(field string) int64 {
	n, err := strconv.ParseInt(d.h.Get(field), 10, 64)
	if err != nil && d.err == nil {
		d.err = errors.Errorf("%s: %q is not a number", field, d.h.Get(field))
	}
	return n
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

// writeError encodes an error of the executing node.
func writeError(w http.ResponseWriter, err error) {
	f := fault.From(err)
	h := w.Header()
	h[fieldError] = []string{f.Kind().String()}
	h[fieldOutcome] = []string{f.Outcome().String()}
	h[fieldDetail] = []string{strings.ToValidUTF8(strings.Map(printable, f.Detail()), "?")}
	if f.RetryAfter() > 0 {
		h[fieldRetryAfter] = []string{micros(f.RetryAfter())}
	}
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
	name := h.Get(fieldError)
	if name == "" {
		return nil
	}
	kind, _ := fault.Parse(name)
	f := fault.New(kind, h.Get(fieldDetail))
	if h.Get(fieldOutcome) == fault.NotExecuted.String() {
		f = f.WithOutcome(fault.NotExecuted)
	} else {
		f = f.WithOutcome(fault.Unknown)
	}
	if us, err := strconv.ParseInt(h.Get(fieldRetryAfter), 10, 64); err == nil {
		f = f.WithRetryAfter(time.Duration(us) * time.Microsecond)
	}
	return f
}
