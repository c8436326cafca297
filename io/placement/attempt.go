package placement

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/retrybudget"
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
	mayRun  bool
	offers  int
	pauses  int
	exclude map[string]bool
	last    error
	asked   bool                     // the retry budget has been asked for a repeat
	nested  bool                     // the last run made calls of its own
	kept    *mustardmast.TargetReply // an answer that failed, given if no other target answers
}

// choose returns the next host. A call of a running request waits a little for one.
func (a *attempt) choose(ctx context.Context) (roster.Record, bool) {
	for {
		host, ok := a.chooseFrom(time.Now(), a.exclude, a.only())
		if ok {
			return host, true
		}
		if !a.call.SubCall || a.pauses >= innerPauses || a.mayRun || time.Until(a.call.Deadline) < 2*innerPause {
			break
		}
		a.pauses++
		clear(a.exclude)
		select {
		case <-ctx.Done():
			a.last = fault.Wrap(ctx.Err(), fault.Canceled, "while no target was reachable").WithOutcome(fault.NotExecuted)
			return roster.Record{}, false
		case <-time.After(innerPause):
		}
	}
	if a.last == nil {
		a.last = fault.Newf(fault.NoTarget, "no target of %q is reachable", a.call.Service)
	}
	return roster.Record{}, false
}

// chooseFrom returns the host with the lowest price among all but those excluded. If only names any, there are no others.
func (a *attempt) chooseFrom(now time.Time, exclude, only map[string]bool) (roster.Record, bool) {
	return a.placer.roster.Choose(now, roster.Criteria{Service: a.call.Service, LargeBody: a.call.Length > bulky, Exclude: exclude, Only: only})
}

// outcome is what came of one offer.
type outcome struct {
	host   string
	reply  *mustardmast.TargetReply
	nested bool // the run made calls of its own
	err    error
}

// good reports whether the outcome is an answer that goes to the caller as it is.
func (o outcome) good() bool { return o.err == nil && o.reply.Status < http.StatusInternalServerError }

// offer sends the call to the node of a host. A repeatable call that takes much longer than usual is sent to another one
// beside it; the first good answer counts, and the other run is given up.
func (a *attempt) offer(ctx context.Context, host roster.Record) (*mustardmast.TargetReply, error) {
	news, _, _ := a.placer.roster.LastReport(time.Now(), host.Host)
	patience := max(leastMute, muteDurations*news.Duration+a.call.MaxWait)
	if !a.call.Repeatable || a.body == nil || news.Duration == 0 || len(a.reached) >= a.most-1 ||
		patience > time.Duration(mostMute*float64(time.Until(a.call.Deadline))) {
		return a.settle(a.send(ctx, host, a.number(), a.copy()))
	}
	first := a.start(ctx, host)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case o := <-first.outcome:
		return a.settle(o)
	case <-timer.C:
	}
	other, ok := a.other(host)
	if !ok {
		return a.settle(<-first.outcome)
	}
	return a.race(first, a.start(ctx, other))
}

// settle takes the outcome of the only offer under way.
func (a *attempt) settle(o outcome) (*mustardmast.TargetReply, error) {
	a.learn(o)
	return o.reply, o.err
}

// other returns another host that the call may be sent to beside the first one.
func (a *attempt) other(first roster.Record) (roster.Record, bool) {
	exclude := map[string]bool{first.Host: true}
	maps.Copy(exclude, a.exclude)
	now := time.Now()
	host, ok := a.chooseFrom(now, exclude, nil)
	if !ok || !a.granted(now) {
		return roster.Record{}, false
	}
	a.call.Retry = true
	return host, true
}

// race waits for the first good answer of two offers. If there is none, it returns what came last.
func (a *attempt) race(first, second *pending) (*mustardmast.TargetReply, error) {
	var o outcome
	left := second
	select {
	case o = <-first.outcome:
	case o = <-second.outcome:
		left = first
		if o.good() {
			a.placer.roster.RecordUnresponsive(first.host)
		}
	}
	a.learn(o)
	if o.good() {
		left.giveUp()
		return o.reply, nil
	}
	failed := o
	o = <-left.outcome
	a.learn(o)
	if o.err != nil && failed.err == nil {
		return failed.reply, nil // an answer that failed tells more than an error
	}
	if o.err != nil && fault.From(failed.err).Outcome() != fault.NotExecuted {
		a.mayRun = true
	}
	return o.reply, o.err
}

// pending is an offer under way.
type pending struct {
	host    string
	cancel  context.CancelFunc
	outcome chan outcome
}

// start sends the call to the node of a host beside others.
func (a *attempt) start(ctx context.Context, host roster.Record) *pending {
	ctx, cancel := context.WithCancel(ctx)
	p := &pending{host: host.Host, cancel: cancel, outcome: make(chan outcome, 1)}
	number, c := a.number(), a.copy()
	go func() {
		o := a.send(ctx, host, number, c)
		if o.err != nil {
			cancel()
		} else {
			o.reply.Body = &rest{Reader: o.reply.Body, Closer: o.reply.Body, done: cancel}
		}
		p.outcome <- o
	}()
	return p
}

// giveUp ends an offer whose answer is not needed.
func (p *pending) giveUp() {
	p.cancel()
	go func() {
		if o := <-p.outcome; o.err == nil {
			_ = o.reply.Body.Close() // nobody reads it
		}
	}()
}

func (a *attempt) number() int {
	a.offers++
	return a.offers
}

// copy returns the call with a body from its start, as it is offered next.
func (a *attempt) copy() mustardmast.TargetCall {
	c := *a.call
	c.Offered = a.offers > 1
	if a.body != nil {
		c.Body = a.body()
	}
	return c
}

// send sends a copy of the call to the node of a host. It changes nothing of the attempt, so that two may be under way.
func (a *attempt) send(ctx context.Context, host roster.Record, number int, c mustardmast.TargetCall) outcome {
	p, began := a.placer, time.Now()
	known, age, _ := p.roster.LastReport(began, host.Host)
	p.roster.RecordSent(began, host.Host)
	defer p.roster.RecordEnded(host.Host)
	o := outcome{host: host.Host}
	var report mustardmast.TargetReport
	reported := true
	if host.Host == p.roster.Self().Host {
		o.reply, report, o.err = p.local.Execute(ctx, &c)
	} else {
		o.reply, report, reported, o.err = p.link.Execute(ctx, host.Address, &c)
	}
	if o.err == nil {
		o.reply, o.err = whole(ctx, o.reply)
	}
	now, status := time.Now(), 0
	if o.err == nil {
		status = o.reply.Status
	}
	o.nested = reported && report.HasSubCalls
	if reported {
		broken := status >= http.StatusInternalServerError && !report.HasSubCalls || failed(o.err)
		p.roster.RecordReply(now, host.Host, report, o.err == nil || ran(o.err), broken)
		a.observe(now, report.Level)
		if report.Version > c.Version {
			p.observer.NewerConfig(host.Host, report.Version)
		}
	}
	if unreachable(o.err) && p.roster.MarkDown(now, host.Host) {
		p.observer.HostDown(host.Host, o.err)
	}
	p.observer.Offered(&c, Offer{Host: host.Host, Number: number, Report: known, Age: age, Status: status, Err: o.err, Took: now.Sub(began)})
	return o
}

// learn notes whether the call has reached the target of a host, and whether the host may be asked again.
func (a *attempt) learn(o outcome) {
	a.nested = o.nested
	if o.err == nil {
		a.reached[o.host] = true
		return
	}
	switch f := fault.From(o.err); {
	case f.Kind() == fault.TargetRefused:
		a.reached[o.host] = true // by chance it takes the call the next time
	case f.Kind() == fault.WrongIncarnation || f.Outcome() != fault.NotExecuted:
		a.reached[o.host], a.exclude[o.host] = true, true
	default:
		a.exclude[o.host] = true
	}
}

// only is the hosts that are left once the call has reached as many targets as it may.
func (a *attempt) only() map[string]bool {
	if len(a.reached) >= a.most {
		return a.reached
	}
	return nil
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
	most := mostPlaces
	if f.Kind() == fault.TargetRefused {
		most = mostRefused
	}
	if ctx.Err() != nil || a.offers >= most || a.body == nil && a.call.Body != nil {
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
	return a.call.Repeatable && len(a.reached) < a.most && a.repeat(time.Now())
}

// repeat asks for one more target after one that the call has reached.
func (a *attempt) repeat(now time.Time) bool {
	if a.call.Deadline.Sub(now) <= innerPause || !a.granted(now) {
		return false
	}
	a.call.Retry = true
	return true
}

// granted takes one repeat from the retry budget of all nodes.
func (a *attempt) granted(now time.Time) bool {
	r := retrybudget.NewRetry(a.call.Priority, a.call.ID, a.asked)
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
