package placement

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/allowance"
	"mustardmast/core/fault"
	"mustardmast/core/roster"
)

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
	asked   atomic.Bool              // the allowance has been asked for a repeat
	nested  bool                     // the last run made calls of its own
	kept    *mustardmast.TargetReply // an answer that failed, given if no other target answers
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
	known, age, _ := p.roster.News(began, host.Host)
	ctx, cancel := context.WithCancel(ctx)
	defer a.watch(cancel, host.Host, known.Duration)()
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
// function that it returns ends the watch. Usual is 0 if it is not known.
func (a *attempt) watch(cancel func(), host string, usual time.Duration) func() {
	a.mute.Store(false)
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
	r := allowance.Repeat{Standing: allowance.Standing(a.call.Priority, a.call.ID), Again: a.asked.Swap(true)}
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
