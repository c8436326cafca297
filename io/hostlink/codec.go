package hostlink

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
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

// keptScale is in which parts the share of requests let through is sent, and levelScale a level.
const (
	keptScale  = 1000
	levelScale = 1000
)

// usualFields is how many fields most headers have at the most.
const usualFields = 32

// headSize is the length in bytes of most encoded heads.
const headSize = 512

// encoder appends texts, which their length precedes, and numbers.
type encoder struct{ b []byte }

func (e *encoder) number(n int64) { e.b = binary.AppendVarint(e.b, n) }

func (e *encoder) text(s string) {
	e.b = binary.AppendUvarint(e.b, uint64(len(s)))
	e.b = append(e.b, s...)
}

func (e *encoder) header(h http.Header) {
	e.number(int64(len(h)))
	for name, values := range h {
		e.text(name)
		e.number(int64(len(values)))
		for _, v := range values {
			e.text(v)
		}
	}
}

// decoder reads what an encoder has written, and keeps the first error.
type decoder struct {
	s   string
	err error
}

func (d *decoder) fail() { d.err, d.s = errors.New("the head ends early"), "" }

func (d *decoder) uvarint() uint64 {
	var u uint64
	for i := 0; i < len(d.s) && i < binary.MaxVarintLen64; i++ {
		u |= uint64(d.s[i]&0x7f) << (7 * i)
		if d.s[i] < 0x80 {
			d.s = d.s[i+1:]
			return u
		}
	}
	d.fail()
	return 0
}

func (d *decoder) number() int64 {
	u := d.uvarint()
	return int64(u>>1) ^ -int64(u&1)
}

func (d *decoder) text() string {
	size := d.uvarint()
	if size > uint64(len(d.s)) {
		d.fail()
		return ""
	}
	text := d.s[:size]
	d.s = d.s[size:]
	return text
}

func (d *decoder) header() http.Header {
	n := d.number()
	if n < 0 || n > int64(len(d.s)) { // each takes a byte at least
		d.fail()
		return nil
	}
	h := make(http.Header, min(n, usualFields))
	for ; n > 0 && d.err == nil; n-- {
		name, count := d.text(), d.number()
		if count < 0 || count > int64(len(d.s)) {
			d.fail()
			return nil
		}
		values := make([]string, count)
		for i := range values {
			values[i] = d.text()
		}
		h[name] = values
	}
	return h
}

// encodeCall encodes a call. Times are sent as what is left of them, because hosts' clocks differ.
func encodeCall(c *mustardmast.TargetCall, now time.Time) []byte {
	flags := int64(0)
	for _, f := range [...]struct {
		set bool
		bit int64
	}{{c.Repeatable, flagRepeatable}, {c.SubCall, flagInner}, {c.CallerRetry, flagReturned}, {c.Body != nil, flagBody}, {c.Retry, flagRepeat}, {c.Offered, flagOffered}} {
		if f.set {
			flags |= f.bit
		}
	}
	e := encoder{b: make([]byte, 0, headSize)}
	for _, text := range [...]string{c.ID, c.Service, c.Route, c.Entry, c.Method, c.URI, c.Host} {
		e.text(text)
	}
	for _, n := range [...]int64{int64(c.Version), int64(c.Priority), int64(c.Rank), int64(max(1, c.AdmittedFraction*keptScale)), flags,
		c.Deadline.Sub(now).Microseconds(), c.MaxWait.Microseconds(), c.Length} {
		e.number(n)
	}
	e.header(c.Header)
	return e.b
}

// decodeCall decodes a call that arrives now. If it has a body, Body is not nil, but has to be set.
func decodeCall(head []byte, now time.Time) (*mustardmast.TargetCall, error) {
	d := decoder{s: string(head)}
	c := &mustardmast.TargetCall{}
	for _, text := range [...]*string{&c.ID, &c.Service, &c.Route, &c.Entry, &c.Method, &c.URI, &c.Host} {
		*text = d.text()
	}
	c.Version, c.Priority, c.Rank = uint64(d.number()), int(d.number()), int(d.number())
	c.AdmittedFraction = float64(max(1, d.number())) / keptScale
	flags := d.number()
	c.Deadline = now.Add(time.Duration(d.number()) * time.Microsecond)
	c.MaxWait, c.Length = time.Duration(d.number())*time.Microsecond, d.number()
	c.Repeatable, c.SubCall, c.CallerRetry = flags&flagRepeatable != 0, flags&flagInner != 0, flags&flagReturned != 0
	c.Retry, c.Offered = flags&flagRepeat != 0, flags&flagOffered != 0
	if flags&flagBody != 0 {
		c.Body = http.NoBody
	}
	c.Header = d.header()
	return c, d.err
}

func encodeReport(e *encoder, r mustardmast.TargetReport) {
	for _, n := range [...]int64{bit(r.Ready), int64(r.Limit), int64(r.Running), int64(r.Waiting), r.Duration.Microseconds(),
		int64(r.Level * levelScale), int64(r.Version), bit(r.HasSubCalls)} {
		e.number(n)
	}
	e.text(r.Service)
}

func decodeReport(d *decoder) mustardmast.TargetReport {
	r := mustardmast.TargetReport{Ready: d.number() == 1, Limit: int(d.number()), Running: int(d.number()), Waiting: int(d.number())}
	r.Duration, r.Level = time.Duration(d.number())*time.Microsecond, float64(d.number())/levelScale
	r.Version, r.HasSubCalls, r.Service = uint64(d.number()), d.number() == 1, d.text()
	return r
}

func bit(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// encodeReply encodes the head of a target's reply.
func encodeReply(r *mustardmast.TargetReply, report mustardmast.TargetReport) []byte {
	e := encoder{b: make([]byte, 0, headSize)}
	encodeReport(&e, report)
	e.text("") // no error
	e.number(int64(r.Status))
	e.number(r.Length)
	e.header(r.Header)
	return e.b
}

// encodeError encodes an error of the executing node, in the place of a reply.
func encodeError(f *fault.Error, report mustardmast.TargetReport) []byte {
	e := encoder{b: make([]byte, 0, headSize)}
	encodeReport(&e, report)
	e.text(f.Kind().String())
	e.text(f.Outcome().String())
	e.number(f.RetryAfter().Microseconds())
	e.text(f.Detail())
	return e.b
}

// decodeReply decodes the head of a reply. Failed is the error of the executing node, nil if the reply is a target's.
func decodeReply(head []byte) (reply *mustardmast.TargetReply, report mustardmast.TargetReport, failed, err error) {
	d := decoder{s: string(head)}
	report = decodeReport(&d)
	if name := d.text(); name != "" {
		kind, _ := fault.ParseKind(name)
		outcome, retryAfter := d.text(), time.Duration(d.number())*time.Microsecond
		f := fault.New(kind, d.text()).WithOutcome(fault.Unknown)
		if outcome == fault.NotExecuted.String() {
			f = f.WithOutcome(fault.NotExecuted)
		}
		if retryAfter > 0 {
			f = f.WithRetryAfter(retryAfter)
		}
		failed = f
	} else {
		reply = &mustardmast.TargetReply{Status: int(d.number()), Length: d.number(), Header: d.header()}
	}
	if d.err != nil {
		return nil, mustardmast.TargetReport{}, nil, fault.Wrap(d.err, fault.PeerLost, "reply of another node")
	}
	return reply, report, failed, nil
}
