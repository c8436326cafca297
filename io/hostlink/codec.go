package hostlink

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

// Bits of the flags of a call.
const (
	flagRepeatable = 1 << iota
	flagSubCall
	flagCallerRetry
	flagBody
	flagRetry
	flagOffered
)

// Fractions of admitted requests and shedding levels are sent as integers, multiplied by these scales.
const (
	fractionScale = 1000
	levelScale    = 1000
)

// headerCountHint is an upper bound on the number of fields in most headers.
const headerCountHint = 32

// unknownLength is the length in bytes of a body that states none.
const unknownLength = -1

// headSizeHint is an upper bound on the size in bytes of most encoded heads.
const headSizeHint = 512

// encoder appends integers as varints, and strings with their length as a prefix.
type encoder struct{ data []byte }

func (e *encoder) number(n int64) { e.data = binary.AppendVarint(e.data, n) }

func (e *encoder) text(s string) {
	e.data = binary.AppendUvarint(e.data, uint64(len(s)))
	e.data = append(e.data, s...)
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

// decoder reads the output of an encoder. It keeps its error, and returns zero values after it.
type decoder struct {
	data string
	err  error
}

func (d *decoder) failTruncated() { d.err, d.data = errors.New("truncated head"), "" }

// ended reports whether all fields have been read.
func (d *decoder) ended() bool { return len(d.data) == 0 }

func (d *decoder) uvarint() uint64 {
	var u uint64
	for i := 0; i < len(d.data) && i < binary.MaxVarintLen64; i++ {
		u |= uint64(d.data[i]&0x7f) << (7 * i)
		if d.data[i] < 0x80 {
			d.data = d.data[i+1:]
			return u
		}
	}
	d.failTruncated()
	return 0
}

func (d *decoder) number() int64 {
	u := d.uvarint()
	return int64(u>>1) ^ -int64(u&1)
}

// maxMultiplied bounds a number that is multiplied as a float later. The conversion of a larger product back to an
// integer overflows, with a result that depends on the processor. In microseconds it is about 32 years.
const maxMultiplied = 1e15

// bounded reads a number that is multiplied as a float later.
func (d *decoder) bounded() int64 { return max(-maxMultiplied, min(maxMultiplied, d.number())) }

func (d *decoder) text() string {
	size := d.uvarint()
	if size > uint64(len(d.data)) {
		d.failTruncated()
		return ""
	}
	text := d.data[:size]
	d.data = d.data[size:]
	return text
}

func (d *decoder) header() http.Header {
	n := d.number()
	if n < 0 || n > int64(len(d.data)) { // each field takes at least one byte
		d.failTruncated()
		return nil
	}
	h := make(http.Header, min(n, headerCountHint))
	for ; n > 0 && d.err == nil; n-- {
		name, count := d.text(), d.number()
		if count < 0 || count > int64(len(d.data)) {
			d.failTruncated()
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

// encodeCall encodes a call. Times are sent relative to now, because the clocks of hosts differ.
func encodeCall(c *mustardmast.TargetCall, now time.Time) []byte {
	flags := int64(0)
	for _, f := range [...]struct {
		set bool
		bit int64
	}{{c.Repeatable, flagRepeatable}, {c.SubCall, flagSubCall}, {c.CallerRetry, flagCallerRetry}, {c.Body != nil, flagBody}, {c.Retry, flagRetry}, {c.OfferedBefore, flagOffered}} {
		if f.set {
			flags |= f.bit
		}
	}
	e := encoder{data: make([]byte, 0, headSizeHint)}
	for _, text := range [...]string{c.ID, c.Service, c.Route, c.EntryHost, c.Method, c.URI, c.Host} {
		e.text(text)
	}
	for _, n := range [...]int64{int64(c.Version), int64(c.Priority), int64(c.Rank), int64(max(1, c.AdmittedFraction*fractionScale)), flags,
		c.Deadline.Sub(now).Microseconds(), now.Sub(c.Begun).Microseconds(), c.MaxWait.Microseconds(), c.Length} {
		e.number(n)
	}
	e.header(c.Header)
	e.number(int64(c.Content))
	return e.data
}

// decodeCall decodes a call that was received at now. If the call has a body, Body is http.NoBody and the caller must
// replace it.
func decodeCall(head []byte, now time.Time) (*mustardmast.TargetCall, error) {
	d := decoder{data: string(head)}
	c := &mustardmast.TargetCall{}
	for _, text := range [...]*string{&c.ID, &c.Service, &c.Route, &c.EntryHost, &c.Method, &c.URI, &c.Host} {
		*text = d.text()
	}
	c.Version, c.Priority, c.Rank = uint64(d.number()), int(d.number()), int(d.number())
	c.AdmittedFraction = float64(max(1, d.bounded())) / fractionScale
	flags := d.number()
	c.Deadline = now.Add(time.Duration(d.number()) * time.Microsecond)
	c.Begun = now.Add(-time.Duration(d.number()) * time.Microsecond)
	c.MaxWait, c.Length = time.Duration(d.bounded())*time.Microsecond, d.number()
	c.Repeatable, c.SubCall, c.CallerRetry = flags&flagRepeatable != 0, flags&flagSubCall != 0, flags&flagCallerRetry != 0
	c.Retry, c.OfferedBefore = flags&flagRetry != 0, flags&flagOffered != 0
	if flags&flagBody != 0 {
		c.Body = http.NoBody
	}
	c.Header = d.header()
	if !d.ended() { // an older node does not send it
		c.Content = uint64(d.number())
	}
	return c, d.err
}

func encodeReport(e *encoder, r mustardmast.TargetReport) {
	for _, n := range [...]int64{boolToInt(r.Ready), int64(r.Limit), int64(r.Running), int64(r.Waiting), r.Duration.Microseconds(),
		int64(r.Level * levelScale), int64(r.Version), boolToInt(r.HasSubCalls)} {
		e.number(n)
	}
	e.text(r.Service)
}

func decodeReport(d *decoder) mustardmast.TargetReport {
	r := mustardmast.TargetReport{Ready: d.number() == 1, Limit: int(d.number()), Running: int(d.number()), Waiting: int(d.number())}
	r.Duration, r.Level = time.Duration(d.number())*time.Microsecond, float64(d.bounded())/levelScale
	r.Version, r.HasSubCalls, r.Service = uint64(d.number()), d.number() == 1, d.text()
	return r
}

func boolToInt(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// encodeReply encodes the head of a reply of the target.
func encodeReply(r *mustardmast.TargetReply, report mustardmast.TargetReport) []byte {
	e := encoder{data: make([]byte, 0, headSizeHint)}
	encodeReport(&e, report)
	e.text("") // no error
	e.number(int64(r.Status))
	e.number(r.Length)
	e.header(r.Header)
	return e.data
}

// encodeError encodes an error of the executing node, which it sends in place of a reply.
func encodeError(f *fault.Error, report mustardmast.TargetReport) []byte {
	e := encoder{data: make([]byte, 0, headSizeHint)}
	encodeReport(&e, report)
	e.text(f.Kind().String())
	e.text(f.Outcome().String())
	e.number(f.RetryAfter().Microseconds())
	e.text(f.Detail())
	e.text(f.OnlyHost())
	return e.data
}

// decodeReply decodes the head of a reply. RemoteErr is the error of the executing node, nil if the target replied. A reply
// that is malformed is an error.
func decodeReply(head []byte) (reply *mustardmast.TargetReply, report mustardmast.TargetReport, remoteErr, err error) {
	d := decoder{data: string(head)}
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
		if !d.ended() { // an older node does not send it
			f = f.WithOnlyHost(d.text())
		}
		remoteErr = f
	} else {
		reply = &mustardmast.TargetReply{Status: int(d.number()), Length: d.number(), Header: d.header()}
	}
	if d.err != nil {
		return nil, mustardmast.TargetReport{}, nil, fault.Wrap(d.err, fault.PeerLost, "decoding reply of peer node")
	}
	if reply != nil {
		if err := checkReply(reply); err != nil {
			return nil, mustardmast.TargetReport{}, nil, err
		}
	}
	return reply, report, remoteErr, nil
}

// checkReply returns an error if a reply is not a final response of HTTP. A node of an older version may pass one on that is
// malformed.
func checkReply(r *mustardmast.TargetReply) error {
	err := message.CheckHead(r.Status, r.Header)
	switch {
	case err == nil && r.Status < http.StatusOK:
		err = errors.Errorf("response status: expected at least 200, got %d", r.Status)
	case err == nil && r.Length < unknownLength:
		err = errors.Errorf("response length: expected at least %d, got %d", unknownLength, r.Length)
	}
	if err != nil {
		return fault.Wrap(err, fault.TargetFailed, "reply of peer node")
	}
	return nil
}
