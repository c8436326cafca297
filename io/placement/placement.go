// Package placement takes a call to a target of its service.
//
// The node beside each target decides whether the call runs. A call that was turned away has not run and is placed
// again elsewhere at no price to the target. A call that reached a target and failed goes to another one only if it is
// repeatable, within the attempts of its route and the allowance that all nodes share.
package placement

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/allowance"
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

const (
	// mostPlaces bounds the offers of one call to nodes.
	mostPlaces = 5
	// muteDurations is how many times its usual duration a repeatable call may take, beside its wait for a slot, before
	// another target is asked, and leastMute the least time. Noisy neighbours and cold starts stretch the duration by less.
	muteDurations = 7
	leastMute     = 180 * time.Millisecond
	// mostMute is the part of the time left that may pass before that, so that there is time for the other one.
	mostMute = 0.5
	// wholeAnswer is the largest answer that is read to its end before any of it goes to the caller, so that a cut
	// answer can be asked for again.
	wholeAnswer = 256 << 10
	// innerPause is how long a call of a running request waits when no target is reachable, and innerPauses how often.
	innerPause  = 60 * time.Millisecond
	innerPauses = 4
	// calm is the shedding level up to which a failed answer is asked for again; above it failures come from overload,
	// and repeating them adds to it.
	calm = 0.05
)

// bulky is the size of a body above which traffic between failure domains counts more, in bytes.
const bulky = 32 << 10

// Observer is told of what happens to calls. Its methods must not block.
type Observer interface {
	// Placed is called for each offer to a node, with its outcome and the news of the host that it was chosen by.
	Placed(c *mustardmast.TargetCall, o Offer)
	// HostDown is called when a host that was believed to be up cannot be reached.
	HostDown(host string, err error)
	// Behind is called when a host has a later configuration.
	Behind(host string, version uint64)
}

// Offer is one offer of a call to a node.
type Offer struct {
	Host   string
	Number int // of the offers of this call
	Report mustardmast.TargetReport
	Age    time.Duration // of the report when the host was chosen
	Status int           // of the target's answer; 0 if there is none
	Err    error
	Took   time.Duration
}

// Placer takes calls to targets. Its methods may be called concurrently.
type Placer struct {
	roster    *roster.Roster
	local     mustardmast.Executor
	link      *hostlink.Client
	allowance *allowance.Allowance
	levels    *pressure.Levels
	observer  Observer
}

// New returns a placer. Local runs the calls for the own host's target.
func New(r *roster.Roster, local mustardmast.Executor, link *hostlink.Client, a *allowance.Allowance, l *pressure.Levels, o Observer) *Placer {
	return &Placer{roster: r, local: local, link: link, allowance: a, levels: l, observer: o}
}

// attempt is the state of one call.
type attempt struct {
	placer  *Placer
	call    *mustardmast.TargetCall
	body    func() io.Reader
	met     func(level float64)
	most    int             // targets that the call may reach
	reached map[string]bool // hosts whose targets the call has reached
	mute    atomic.Bool     // the present offer was given up for another target
	mayRun  bool
	offers  int
	pauses  int
	exclude map[string]bool
	last    error
	asked   bool                     // the allowance has been asked for a repeat
	nested  bool                     // the last run made calls of its own
	kept    *mustardmast.TargetReply // an answer that failed, given if no other target answers
}

// Place runs a call. Met is called with each shedding level that the call met. Body returns the body from its start, nil if there is none or if it cannot be read again. Most is
// the number of targets that the call may reach.
func (p *Placer) Place(ctx context.Context, c *mustardmast.TargetCall, body func() io.Reader, most int, met func(level float64)) (*mustardmast.TargetReply, error) {
	if c.Repeat {
		p.allowance.Repeated(time.Now(), c.Service)
	} else {
		p.allowance.First(time.Now(), c.Service)
	}
	a := &attempt{placer: p, call: c, body: body, most: most, met: met, exclude: map[string]bool{}, reached: map[string]bool{}}
	for {
		host, ok := a.choose(ctx)
		if !ok {
			return a.result()
		}
		reply, err := a.offer(ctx, host)
		if err == nil && !a.again(reply) {
			return reply, nil
		}
		if err != nil && !a.next(ctx, err) {
			return a.result()
		}
		if err == nil {
			a.exclude[host.Host] = true
			a.kept = reply
		}
	}
}

// choose returns the next host. A call of a running request waits a little for one.
func (a *attempt) choose(ctx context.Context) (roster.Record, bool) {
	for {
		host, ok := a.placer.roster.Choose(time.Now(), roster.Choice{Service: a.call.Service, Bulky: a.call.Length > bulky, Exclude: a.exclude, Only: a.only()})
		if ok {
			return host, true
		}
		if !a.call.Inner || a.pauses >= innerPauses || a.mayRun || time.Until(a.call.Deadline) < 2*innerPause {
			break
		}
		a.pauses++
		clear(a.exclude)
		select {
		case <-ctx.Done():
			return roster.Record{}, false
		case <-time.After(innerPause):
		}
	}
	if a.last == nil {
		a.last = fault.Newf(fault.NoTarget, "no target of %q is reachable", a.call.Service)
	}
	return roster.Record{}, false
}

// offer sends the call to the node of a host.
func (a *attempt) offer(ctx context.Context, host roster.Record) (*mustardmast.TargetReply, error) {
	p, began := a.placer, time.Now()
	if a.offers++; a.body != nil {
		a.call.Body = a.body()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer a.watch(cancel, host.Host)()
	known, age, _ := p.roster.News(began, host.Host)
	p.roster.Sent(began, host.Host)
	defer p.roster.Ended(host.Host)
	var reply *mustardmast.TargetReply
	var report mustardmast.TargetReport
	var err error
	reported := true
	if host.Host == p.roster.Self().Host {
		reply, report, err = p.local.Execute(ctx, a.call)
	} else {
		reply, report, reported, err = p.link.Execute(ctx, host.Address, a.call)
	}
	if err == nil {
		reply, err = whole(ctx, reply, cancel)
	} else {
		cancel()
	}
	now, status := time.Now(), 0
	if err == nil {
		status = reply.Status
	}
	a.nested = reported && report.Nested
	if reported {
		p.roster.Replied(now, host.Host, report, err == nil || ran(err), status >= http.StatusInternalServerError && !report.Nested || failed(err))
		a.observe(now, report.Level)
		if report.Version > a.call.Version {
			p.observer.Behind(host.Host, report.Version)
		}
	}
	if unreachable(err) && p.roster.Down(now, host.Host) {
		p.observer.HostDown(host.Host, err)
	}
	p.observer.Placed(a.call, Offer{Host: host.Host, Number: a.offers, Report: known, Age: age, Status: status, Err: err, Took: now.Sub(began)})
	if err != nil && a.mute.Load() {
		p.roster.Mute(host.Host)
		err = fault.Wrap(err, fault.TargetFailed, "no answer in time")
	}
	a.learn(host.Host, err)
	return reply, err
}

// learn notes whether the call has reached the target of a host, and whether the host may be asked again.
func (a *attempt) learn(host string, err error) {
	if err == nil {
		a.reached[host] = true
		return
	}
	switch f := fault.From(err); {
	case f.Kind() == fault.TargetRefused:
		a.reached[host] = true // by chance it takes the call the next time
	case f.Kind() == fault.WrongIncarnation || f.Outcome() != fault.NotExecuted:
		a.reached[host], a.exclude[host] = true, true
	default:
		a.exclude[host] = true
	}
}

// only is the hosts that are left once the call has reached as many targets as it may.
func (a *attempt) only() map[string]bool {
	if len(a.reached) >= a.most {
		return a.reached
	}
	return nil
}

// watch ends an offer of a repeatable call that takes much longer than usual, if another target may be asked. The
// function that it returns ends the watch.
func (a *attempt) watch(cancel func(), host string) func() {
	a.mute.Store(false)
	usual := a.placer.roster.Expected(host)
	patience := max(leastMute, muteDurations*usual+a.call.Hold)
	if !a.call.Repeatable || a.body == nil || usual == 0 || len(a.reached) >= a.most-1 ||
		patience > time.Duration(mostMute*float64(time.Until(a.call.Deadline))) {
		return func() {}
	}
	timer := time.AfterFunc(patience, func() {
		other := roster.Choice{Service: a.call.Service, Exclude: map[string]bool{host: true}}
		if _, ok := a.placer.roster.Choose(time.Now(), other); ok && a.granted(time.Now()) {
			a.mute.Store(true)
			cancel()
		}
	})
	return func() { timer.Stop() }
}

// observe takes the level that the node beside a target told.
func (a *attempt) observe(now time.Time, level float64) {
	a.placer.levels.Observe(now, a.call.Route, level)
	if a.met != nil {
		a.met(level)
	}
}

// ran reports whether an error says something of the target rather than of the way to it.
func ran(err error) bool {
	switch fault.From(err).Kind() {
	case fault.TargetFailed, fault.TargetRefused, fault.AnswerCut:
		return true
	}
	return false
}

// unreachable reports whether an error says that there is no way to a host.
func unreachable(err error) bool {
	if err == nil {
		return false
	}
	k := fault.From(err).Kind()
	return k == fault.PeerUnreachable || k == fault.PeerLost
}

func failed(err error) bool { return err != nil && ran(err) }

// whole reads an answer to its end if it is not too large. It calls done when nothing more is read from its target.
func whole(ctx context.Context, r *mustardmast.TargetReply, done func()) (*mustardmast.TargetReply, error) {
	if r.Length > wholeAnswer {
		r.Body = &rest{Reader: r.Body, Closer: r.Body, done: done}
		return r, nil
	}
	var b bytes.Buffer
	if r.Length > 0 {
		b.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(r.Body, wholeAnswer))
	if err != nil {
		_ = r.Body.Close() // the read has failed already
		defer done()
		if ctx.Err() != nil {
			return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "while the answer was read")
		}
		return nil, fault.Wrap(err, fault.AnswerCut, "the answer broke off")
	}
	if n == wholeAnswer {
		r.Body = &rest{Reader: io.MultiReader(&b, r.Body), Closer: r.Body, done: done}
		return r, nil
	}
	defer done()
	if err := r.Body.Close(); err != nil && r.Length > n {
		return nil, fault.Wrap(err, fault.AnswerCut, "the answer broke off")
	}
	r.Body, r.Length = io.NopCloser(&b), n
	return r, nil
}

// rest is an answer that is read from its target while it goes to the caller.
type rest struct {
	io.Reader
	io.Closer
	done func()
}

// Close ends the reading.
func (r *rest) Close() error {
	defer r.done()
	return r.Closer.Close()
}

// again reports whether an answer that failed is worth another target.
func (a *attempt) again(r *mustardmast.TargetReply) bool {
	if r.Status < http.StatusInternalServerError || r.Status == http.StatusGatewayTimeout || !a.call.Repeatable || len(a.reached) >= a.most {
		return false
	}
	now := time.Now()
	if a.nested {
		return false // most likely one of its calls failed, and all of them would be made again
	}
	if a.placer.levels.Level(now, a.call.Route) > calm || !a.repeat(now) {
		return false
	}
	a.mayRun = true
	a.last = fault.Newf(fault.TargetFailed, "status %d", r.Status)
	return true
}

// next reports whether a call that failed may be offered again.
func (a *attempt) next(ctx context.Context, err error) bool {
	a.last = err
	f := fault.From(err)
	if ctx.Err() != nil || a.offers >= mostPlaces || a.body == nil && a.call.Body != nil {
		a.mayRun = a.mayRun || f.Outcome() != fault.NotExecuted
		return false
	}
	switch f.Kind() {
	case fault.TargetRefused, fault.WrongIncarnation:
		return a.repeat(time.Now())
	case fault.Canceled, fault.DeadlineExceeded, fault.DeadlinePassed, fault.BadRequest:
		a.mayRun = a.mayRun || f.Outcome() != fault.NotExecuted
		return false
	}
	if f.Outcome() == fault.NotExecuted {
		return true
	}
	a.mayRun = true
	if a.mute.Load() {
		a.call.Repeat = true // the allowance has granted it already
		return true
	}
	return a.call.Repeatable && len(a.reached) < a.most && a.repeat(time.Now())
}

// repeat asks for one more target after one that the call has reached.
func (a *attempt) repeat(now time.Time) bool {
	if a.call.Deadline.Sub(now) <= innerPause || !a.granted(now) {
		return false
	}
	a.call.Repeat = true
	return true
}

// granted takes one repeat from the allowance of all nodes.
func (a *attempt) granted(now time.Time) bool {
	r := allowance.Repeat{Standing: allowance.Standing(a.call.Priority, a.call.ID), Again: a.asked}
	a.asked = true
	return a.placer.allowance.Take(now, a.call.Service, a.placer.roster.Size(), r)
}

// result is the answer that failed, or the last error with what is known of all attempts.
func (a *attempt) result() (*mustardmast.TargetReply, error) {
	if a.kept != nil {
		return a.kept, nil
	}
	f := fault.From(a.last)
	if a.mayRun {
		return nil, f.WithOutcome(fault.Unknown)
	}
	return nil, f
}
