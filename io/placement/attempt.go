package placement

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/roster"
)

// attempt is the state of a call that is being placed.
type attempt struct {
	placer         *Placer
	call           *mustardmast.TargetCall
	waitingSince   time.Time // when the call was placed, or when a target was last reached
	body           func() io.Reader
	observeLevel   func(level float64)
	maxTries       int             // maximum number of targets that the call may reach
	reached        map[string]bool // hosts whose targets have received the call
	mayHaveRun     bool
	offers         int
	waits          int
	excluded       map[string]bool
	only           map[string]bool // if not nil, the hosts to which the call is restricted
	lastErr        error
	retryRequested bool                     // a retry of this call was requested from the budget before
	hasSubCalls    bool                     // the last run made sub-calls
	failedReply    *mustardmast.TargetReply // reply with an error status, returned if no other target replies
}

// choose returns the next host. A sub-call waits for a short time if there is none.
func (a *attempt) choose(ctx context.Context) (roster.Record, bool) {
	for {
		host, ok := a.chooseFrom(time.Now(), a.excluded, a.allowedHosts())
		if ok {
			return host, true
		}
		if !a.call.SubCall || a.waits >= maxNoTargetWaits || a.mayHaveRun || time.Until(a.call.Deadline) < 2*noTargetDelay {
			break
		}
		a.waits++
		clear(a.excluded)
		select {
		case <-ctx.Done():
			a.lastErr = fault.Wrap(ctx.Err(), fault.Canceled, "while no target was reachable").WithOutcome(fault.NotExecuted)
			return roster.Record{}, false
		case <-time.After(noTargetDelay):
		}
	}
	if a.lastErr == nil {
		a.lastErr = fault.Newf(fault.NoTarget, "no target of %q is reachable", a.call.Service)
	}
	return roster.Record{}, false
}

// chooseFrom returns the host with the lowest cost that is not excluded. If only is not empty, other hosts are ignored.
func (a *attempt) chooseFrom(now time.Time, exclude, only map[string]bool) (roster.Record, bool) {
	return a.placer.roster.Choose(now, roster.Criteria{Service: a.call.Service, LargeBody: a.call.Length > largeBody, Exclude: exclude, Only: only})
}

// outcome is the outcome of one offer.
type outcome struct {
	host        string
	reply       *mustardmast.TargetReply
	hasSubCalls bool // the run made sub-calls
	err         error
}

// succeeded reports whether the reply may be returned without a retry.
func (o outcome) succeeded() bool {
	return o.err == nil && o.reply.Status < http.StatusInternalServerError
}

// offer offers the call to a host. A repeatable call that takes much longer than usual, or whose host has not replied to
// any call for some time, is hedged: it is sent to a second host as well, the first successful reply is returned, and the
// other run is canceled.
func (a *attempt) offer(ctx context.Context, host roster.Record) (*mustardmast.TargetReply, error) {
	delays := a.hedgeDelays(host)
	if len(delays) == 0 {
		return a.finish(a.send(ctx, time.Now(), host, a.offerNumber(), a.copy()))
	}
	first := a.start(ctx, host)
	began := time.Now() // not before the start, since when the host may be silent
	timer := time.NewTimer(delays[0].after)
	defer timer.Stop()
	for _, d := range delays {
		timer.Reset(time.Until(began.Add(d.after)))
		select {
		case o := <-first.outcome:
			return a.finish(o)
		case <-timer.C:
		}
		if d.ifSilent && !a.placer.roster.Silent(time.Now(), host.Host) {
			continue
		}
		if hedge, ok := a.hedge(host); ok {
			return a.race(first, a.start(ctx, hedge))
		}
	}
	return a.finish(<-first.outcome)
}

// hedgeDelay is a time after an offer at which the call is hedged.
type hedgeDelay struct {
	after    time.Duration
	ifSilent bool // only if the host is silent then
}

// hedgeDelays returns the times at which a call to a host is hedged, none if it must not be or if too little time is left
// for a second target to respond.
func (a *attempt) hedgeDelays(host roster.Record) []hedgeDelay {
	report, _, _ := a.placer.roster.LastReport(time.Now(), host.Host)
	if !a.call.Repeatable || a.body == nil || report.Duration == 0 || len(a.reached) >= a.maxTries-1 {
		return nil
	}
	latest := time.Duration(maxHedgeDelayFraction * float64(time.Until(a.call.Deadline)))
	slow := hedgeDelay{after: max(minHedgeDelay, hedgeDelayFactor*report.Duration+a.call.MaxWait)}
	silent := hedgeDelay{after: a.placer.roster.SilenceLimit(host.Host), ifSilent: true}
	var delays []hedgeDelay
	if silent.after < slow.after && silent.after <= latest {
		delays = append(delays, silent)
	}
	if slow.after <= latest {
		delays = append(delays, slow)
	}
	return delays
}

// finish records the outcome of an offer that is not hedged.
func (a *attempt) finish(o outcome) (*mustardmast.TargetReply, error) {
	a.record(o)
	return o.reply, o.err
}

// hedge returns a host for a second, concurrent offer.
func (a *attempt) hedge(first roster.Record) (roster.Record, bool) {
	excluded := map[string]bool{first.Host: true}
	maps.Copy(excluded, a.excluded)
	now := time.Now()
	host, ok := a.chooseFrom(now, excluded, nil)
	if !ok || !a.takeBudget(now) {
		return roster.Record{}, false
	}
	a.call.Retry = true
	return host, true
}

// race returns the first successful reply of two offers. If neither succeeds, it returns the later outcome, but prefers
// a reply to an error.
func (a *attempt) race(first, second *pendingOffer) (*mustardmast.TargetReply, error) {
	var o outcome
	remaining := second
	select {
	case o = <-first.outcome:
	case o = <-second.outcome:
		remaining = first
		if o.succeeded() {
			a.placer.roster.RecordUnresponsive(first.host)
		}
	}
	a.record(o)
	if o.succeeded() {
		remaining.abandon()
		return o.reply, nil
	}
	failed := o
	o = <-remaining.outcome
	a.record(o)
	if o.err != nil && failed.err == nil {
		return failed.reply, nil // an error reply is more informative than an error
	}
	discard(failed.reply)
	if o.err != nil && fault.From(failed.err).Outcome() != fault.NotExecuted {
		a.mayHaveRun = true
	}
	return o.reply, o.err
}

// pendingOffer is an offer in flight.
type pendingOffer struct {
	host    string
	cancel  context.CancelFunc
	outcome chan outcome
}

// start starts an offer that runs concurrently with others.
func (a *attempt) start(ctx context.Context, host roster.Record) *pendingOffer {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingOffer{host: host.Host, cancel: cancel, outcome: make(chan outcome, 1)}
	began, offerNumber, c := time.Now(), a.offerNumber(), a.copy()
	go func() {
		o := a.send(ctx, began, host, offerNumber, c)
		if o.err != nil {
			cancel()
		} else {
			o.reply.Body = &cancelingBody{ReadCloser: o.reply.Body, cancel: cancel}
		}
		p.outcome <- o
	}()
	return p
}

// abandon cancels an offer whose reply is not needed.
func (p *pendingOffer) abandon() {
	p.cancel()
	go func() {
		if o := <-p.outcome; o.err == nil {
			_ = o.reply.Body.Close() // the reply is discarded
		}
	}()
}

func (a *attempt) offerNumber() int {
	a.offers++
	return a.offers
}

// copy returns a copy of the call for the next offer, with the body from its start.
func (a *attempt) copy() mustardmast.TargetCall {
	c := *a.call
	c.OfferedBefore = a.offers > 1
	c.MaxWait = max(0, c.MaxWait-time.Since(a.waitingSince)) // a call waits once, not once at each node
	if a.body != nil {
		c.Body = a.body()
	}
	return c
}

// send sends a copy of the call to a host. Began is when the offer was started. It does not modify the attempt, so two sends
// may run concurrently.
func (a *attempt) send(ctx context.Context, began time.Time, host roster.Record, number int, c mustardmast.TargetCall) outcome {
	p := a.placer
	lastReport, age, _ := p.roster.LastReport(began, host.Host)
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
		o.reply, o.err = p.replies.read(ctx, o.reply)
	}
	now, status := time.Now(), 0
	if o.err == nil {
		status = o.reply.Status
	}
	o.hasSubCalls = reported && report.HasSubCalls
	if reported {
		targetFault := status >= http.StatusInternalServerError && !report.HasSubCalls || targetFailed(o.err)
		p.roster.RecordReply(now, host.Host, report, o.err == nil || fromTarget(o.err), targetFault)
		a.observe(now, report.Level)
		if report.Version > c.Version {
			p.observer.NewerConfig(host.Host, report.Version)
		}
	}
	if unreachable(o.err) && p.roster.MarkDown(now, host.Host) {
		p.observer.HostDown(host.Host, o.err)
	}
	p.observer.Offered(&c, Offer{Host: host.Host, Number: number, Report: lastReport, Age: age, Status: status, Err: o.err, Took: now.Sub(began)})
	return o
}

// record updates the sets of hosts that the call has reached and that are excluded from further offers.
func (a *attempt) record(o outcome) {
	a.hasSubCalls = o.hasSubCalls
	defer func() {
		if a.reached[o.host] {
			a.waitingSince = time.Now()
		}
	}()
	if o.err == nil {
		a.reached[o.host] = true
		return
	}
	switch f := fault.From(o.err); {
	case f.Kind() == fault.TargetRefused:
		a.reached[o.host] = true // not excluded, it may accept the call the next time
	case f.Kind() == fault.WrongIncarnation || f.Outcome() != fault.NotExecuted:
		a.reached[o.host], a.excluded[o.host] = true, true
	default:
		a.excluded[o.host] = true
	}
}

// allowedHosts returns the hosts that the call is restricted to: those that it has reached, once these are the maximum
// number, or the one that alone may run it. It returns nil if there is no restriction.
func (a *attempt) allowedHosts() map[string]bool {
	if len(a.reached) >= a.maxTries {
		return a.reached
	}
	return a.only
}

// observe records the shedding level reported by the node beside a target.
func (a *attempt) observe(now time.Time, level float64) {
	a.placer.levels.Observe(now, a.call.Route, level)
	if a.observeLevel != nil {
		a.observeLevel(level)
	}
}

// fromTarget reports whether an error was caused by the target rather than by the path to it.
func fromTarget(err error) bool {
	switch fault.From(err).Kind() {
	case fault.TargetFailed, fault.TargetRefused, fault.AnswerCut:
		return true
	}
	return false
}

// unreachable reports whether an error means that the host cannot be reached.
func unreachable(err error) bool {
	if err == nil {
		return false
	}
	k := fault.From(err).Kind()
	return k == fault.PeerUnreachable || k == fault.PeerLost
}

func targetFailed(err error) bool { return err != nil && fromTarget(err) }

// result returns the error reply if there is one, else the last error with the outcome of all offers.
func (a *attempt) result() (*mustardmast.TargetReply, error) {
	if a.failedReply != nil {
		return a.failedReply, nil
	}
	f := fault.From(a.lastErr)
	if a.mayHaveRun {
		return nil, f.WithOutcome(fault.Unknown)
	}
	return nil, f
}
