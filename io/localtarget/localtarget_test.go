package localtarget_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/core/quarantine"
	"mustardmast/io/localtarget"
	"mustardmast/io/targetconn"
)

var names = mustardmast.HeaderNames{RequestID: "Request-Id", TimeLeft: "Time-Left", ExpectedLifetime: "Expected", NotExecuted: "Refused", Lifetime: "Lifetime"}

type nopObserver struct{}

func (nopObserver) CallRejected(*mustardmast.TargetCall, error, admission.Report, lifetime.Target) {}
func (nopObserver) CallCompleted(*mustardmast.TargetCall, time.Duration, time.Duration, error, lifetime.Target) {
}
func (nopObserver) TargetLost(string, error)         {}
func (nopObserver) TargetLeaving(string)             {}
func (nopObserver) RateLimitChanged(string, float64) {}
func (nopObserver) TargetCrashed(lifetime.Target, int, []quarantine.Fingerprint) {
}
func (nopObserver) NoticeMalformed(string, error) {}

// fixture is an executor in front of a stub target with a single slot.
type fixture struct {
	*localtarget.Executor
	tracker    *lifetime.Tracker
	controller *admission.Controller
	address    netip.AddrPort
	release    chan struct{} // each value completes one run
	quarantine *quarantine.Quarantine
	serving    []mustardmast.Member
	listener   net.Listener
	onNotify   func()

	mu       sync.Mutex
	runs     []string
	notified []quarantine.Update
}

// SendEvidence implements crash.Notifier.
func (f *fixture) SendEvidence(_ context.Context, _ string, updates []quarantine.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notified = append(f.notified, updates...)
	if f.onNotify != nil {
		f.onNotify()
	}
}

// newFixture returns an executor whose target has announced itself and responds by respond; nil stands for runs that
// release completes.
func newFixture(t *testing.T, respond http.HandlerFunc) *fixture {
	t.Helper()
	f := newUnannouncedFixture(t, respond)
	f.announce("i-1", 1000, false)
	return f
}

// newUnannouncedFixture is newFixture with a target that has not announced itself.
func newUnannouncedFixture(t *testing.T, respond http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{release: make(chan struct{}, 100), controller: admission.New(), quarantine: quarantine.New(1)}
	if respond == nil {
		respond = f.awaitRelease
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.runs = append(f.runs, r.Header.Get("Request-Id"))
		f.mu.Unlock()
		respond(w, r)
	}))
	t.Cleanup(s.Close)
	f.listener, f.address = s.Listener, netip.MustParseAddrPort(s.Listener.Addr().String())
	f.tracker = lifetime.New(f.address)
	f.controller.SetSlots(time.Now(), 1)
	f.Executor = localtarget.New(localtarget.Options{
		Tracker: f.tracker, Controller: f.controller, Pool: targetconn.New(f.address.String(), names, func() {}), Observer: nopObserver{},
		Notice: func(h http.Header) (n mustardmast.TargetNotice, err error) {
			n.Leaving = h.Get("Leaving") != ""
			if n.Limited = h.Get("Limit") != ""; n.Limited {
				n.RateLimit, err = strconv.ParseFloat(h.Get("Limit"), 64)
			}
			return n, err
		},
		Version: func() uint64 { return 7 },
		Host:    "h1", Node: 1, Quarantine: f.quarantine, Notifier: f,
		Serving: func(string) []mustardmast.Member { return f.serving },
	})
	return f
}

func (f *fixture) awaitRelease(w http.ResponseWriter, r *http.Request) {
	select {
	case <-f.release:
	case <-r.Context().Done():
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(w, "done")
}

func (f *fixture) announce(id string, started int64, draining bool) {
	f.tracker.Announce(lifetime.Announcement{ID: id, Service: "watch", Address: f.address, Slots: 1, Sequence: time.Now().UnixNano(), StartedMS: started, Draining: draining})
}

func (f *fixture) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs...)
}

func call(id string) *mustardmast.TargetCall {
	return &mustardmast.TargetCall{ID: id, Service: "watch", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Request-Id": {id}},
		Deadline: time.Now().Add(3 * time.Second), MaxWait: time.Second}
}

// run executes a call to its end.
func (f *fixture) run(ctx context.Context, c *mustardmast.TargetCall) error {
	reply, _, err := f.Execute(ctx, c)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(reply.Body)
	_ = reply.Body.Close()
	return err
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not within 2 s")
}

// Guards against starting a non-repeatable call twice, for example when a connection between nodes delivers it after
// its sender has canceled it.
func TestNonRepeatableCallStartsOnce(t *testing.T) {
	f := newFixture(t, nil)
	f.release <- struct{}{}
	f.release <- struct{}{}
	assert.NilError(t, f.run(context.Background(), call("a")))
	err := f.run(context.Background(), call("a"))
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	assert.DeepEqual(t, f.ran(), []string{"a"})
	again := call("b")
	again.Repeatable = true
	f.release <- struct{}{}
	assert.NilError(t, f.run(context.Background(), again))
	assert.NilError(t, f.run(context.Background(), again))
}

// Guards against starting a waiting call after its caller received the outcome not-executed.
func TestCallCanceledWhileWaitingDoesNotRun(t *testing.T) {
	f := newFixture(t, nil)
	done := make(chan error, 1)
	go func() { done <- f.run(context.Background(), call("first")) }()
	eventually(t, func() bool { return len(f.ran()) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	err := f.run(ctx, call("second"))
	assert.Equal(t, fault.From(err).Kind(), fault.Canceled)
	late := call("third")
	late.MaxWait = 20 * time.Millisecond
	err = f.run(context.Background(), late)
	assert.Equal(t, fault.From(err).Kind(), fault.QueueFull)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
	f.release <- struct{}{}
	assert.NilError(t, <-done)
	f.release <- struct{}{}
	assert.NilError(t, f.run(context.Background(), call("fourth")))
	assert.DeepEqual(t, f.ran(), []string{"first", "fourth"})
	assert.Equal(t, f.Active(), int64(0))
}

// Guards against interrupting a non-repeatable run whose caller has canceled, and against continuing a repeatable one.
func TestCallerCancelsRunningCall(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		f := newFixture(t, nil)
		c := call("a")
		c.Repeatable = repeatable
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.run(ctx, c) }()
		eventually(t, func() bool { return len(f.ran()) == 1 })
		cancel()
		if repeatable {
			assert.Assert(t, <-done != nil)
			continue
		}
		time.Sleep(50 * time.Millisecond)
		f.release <- struct{}{}
		assert.NilError(t, <-done)
	}
}

// Guards against running a call that the target cannot serve: wrong service, draining, gone, or past the deadline.
func TestRejectedCalls(t *testing.T) {
	for name, change := range map[string]func(*fixture, *mustardmast.TargetCall){
		"draining":      func(f *fixture, _ *mustardmast.TargetCall) { f.announce("i-1", 1000, true) },
		"deregistered":  func(f *fixture, _ *mustardmast.TargetCall) { f.tracker.Deregister(lifetime.Deregistration{ID: "i-1"}) },
		"node draining": func(f *fixture, _ *mustardmast.TargetCall) { f.Drain() },
		"other service": func(_ *fixture, c *mustardmast.TargetCall) { c.Service = "board" },
		"no time":       func(_ *fixture, c *mustardmast.TargetCall) { c.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			c := call("a")
			change(f, c)
			err := f.run(context.Background(), c)
			assert.Assert(t, err != nil)
			assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
			assert.Equal(t, len(f.ran()), 0)
		})
	}
}

// Guards against a call that waited for one lifetime of the target and starts on its successor.
func TestLifetimeReplacedWhileCallWaits(t *testing.T) {
	f := newFixture(t, nil)
	go func() { _ = f.run(context.Background(), call("first")) }()
	eventually(t, func() bool { return len(f.ran()) == 1 })
	done := make(chan error, 1)
	go func() { done <- f.run(context.Background(), call("second")) }()
	eventually(t, func() bool { return f.controller.Report(time.Now()).Waiting == 1 })
	f.announce("i-2", 2000, false)
	f.release <- struct{}{}
	err := <-done
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
	assert.DeepEqual(t, f.ran(), []string{"first"})
}

// Guards against sub-calls that are not attributed to their run, and against client requests that are.
func TestSubCallsOfRun(t *testing.T) {
	f := newFixture(t, nil)
	c := call("a")
	c.Priority, c.Retry = 2, true
	done := make(chan mustardmast.TargetReport, 1)
	go func() {
		reply, report, err := f.Execute(context.Background(), c)
		if err == nil {
			_ = reply.Body.Close()
		}
		done <- report
	}()
	eventually(t, func() bool { return len(f.ran()) == 1 })
	assert.Assert(t, f.ParentRun("a") == nil && f.ParentRun("b.c") == nil)
	run := f.ParentRun("a.b")
	assert.Assert(t, run != nil && run.Priority() == 2 && run.Retry())
	run.ObserveLevel(0.7)
	run.ObserveLevel(0.4)
	f.release <- struct{}{}
	report := <-done
	assert.Equal(t, report.Level, 0.7)
	assert.Assert(t, report.HasSubCalls)
	eventually(t, func() bool { return f.ParentRun("a.b") == nil })
}

// Guards against runs that are begun while a service that their sub-calls need is overloaded: the node beside the target
// knows that from the sub-calls of earlier runs, before the entry nodes do.
func TestCallsAreShedByTheLevelsOfSubCalls(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Request-Id", r.Header.Get("Request-Id")) })
	routed := func(id, route string, rank int) *mustardmast.TargetCall {
		c := call(id)
		c.Route, c.Rank, c.AdmittedFraction = route, rank, 1
		return c
	}
	first := routed("a", "chain/", 0)
	reply, _, err := f.Execute(context.Background(), first)
	assert.NilError(t, err)
	f.ParentRun("a.1").ObserveLevel(0.9)
	assert.NilError(t, reply.Body.Close())
	shed := 0
	for n := range 200 {
		c := routed(strconv.Itoa(n), "chain/", 0)
		reply, report, err := f.Execute(context.Background(), c)
		if err == nil {
			assert.NilError(t, reply.Body.Close())
			assert.Assert(t, c.AdmittedFraction < 0.2, "the demand must count the calls that were shed")
			continue
		}
		assert.Equal(t, fault.From(err).Kind(), fault.Shed)
		assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
		assert.Assert(t, report.Level > 0.8, "the entry node must learn the level")
		shed++
	}
	assert.Assert(t, shed > 150 && shed < 199, "%d of 200", shed)
	assert.NilError(t, f.run(context.Background(), routed("other", "other/", 0)))
	assert.NilError(t, f.run(context.Background(), routed("important", "chain/", 1)))
	for n := range 20 {
		sub := routed("x."+strconv.Itoa(n), "chain/", 0)
		sub.SubCall = true
		assert.NilError(t, f.run(context.Background(), sub), "the sub-call of a running request")
	}
}

// newNoticeFixture returns an executor in front of a target with 20 slots that responds with the given header fields.
func newNoticeFixture(t *testing.T, respond func(h http.Header) int) *fixture {
	t.Helper()
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(respond(w.Header()))
	})
	f.controller.SetSlots(time.Now(), 20)
	return f
}

// Guards against a target that gets far more requests than the limit that it names in its answers and refusals.
func TestTargetGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const limit, duration = 40, 2 * time.Second
	f := newNoticeFixture(t, func(h http.Header) int {
		h.Set("Limit", strconv.Itoa(limit))
		if time.Now().UnixNano()%2 == 0 {
			h.Set("Refused", "1")
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	})
	var wg sync.WaitGroup
	began := time.Now()
	for worker := range 10 {
		wg.Go(func() {
			for n := 0; time.Since(began) < duration; n++ {
				c := call(strconv.Itoa(worker) + "-" + strconv.Itoa(n))
				c.MaxWait = 50 * time.Millisecond
				if f.run(context.Background(), c) != nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	got := float64(len(f.ran()))
	allowed := limit*time.Since(began).Seconds() + 20 // one for each slot before the first response
	assert.Assert(t, got <= allowed, "%v requests, at most %v", got, allowed)
	assert.Assert(t, got > 0.8*limit*duration.Seconds(), "%v requests", got)
}

// Guards against calls to a target after one of its answers or refusals has stated that it is shutting down.
func TestTargetThatStatesItsLeavingGetsNoCalls(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		f := newNoticeFixture(t, func(h http.Header) int {
			h.Set("Leaving", "1")
			if status != http.StatusOK {
				h.Set("Refused", "1")
			}
			return status
		})
		_ = f.run(context.Background(), call("a"))
		assert.Equal(t, fault.KindOf(f.run(context.Background(), call("b"))), fault.Draining)
		f.announce("i-1", 1000, false)
		assert.Equal(t, fault.KindOf(f.run(context.Background(), call("c"))), fault.Draining)
		assert.DeepEqual(t, f.ran(), []string{"a"})
		f.announce("i-1", 2000, false) // started again
		_ = f.run(context.Background(), call("d"))
		assert.DeepEqual(t, f.ran(), []string{"a", "d"})
	}
}

// Guards against a limit or a leaving that is ignored because the target announced itself for the first time meanwhile.
func TestNoticeOfCallSentBeforeFirstAnnouncement(t *testing.T) {
	started := time.Now().UnixMilli()
	running, release := make(chan struct{}), make(chan struct{})
	f := newUnannouncedFixture(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-release
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Leaving", "1")
		w.Header().Set("Limit", "3")
	})
	f.tracker.Assume("i-1", "watch", 20)
	done := make(chan error, 1)
	go func() { done <- f.run(context.Background(), call("a")) }()
	<-running
	f.announce("i-1", started, false)
	close(release)
	assert.NilError(t, <-done)
	assert.Equal(t, f.controller.RateLimit(), 3.0)
	assert.Equal(t, fault.KindOf(f.run(context.Background(), call("b"))), fault.Draining)
	f.announce("i-1", started, false)
	assert.Equal(t, fault.KindOf(f.run(context.Background(), call("c"))), fault.Draining)
}

// Guards against a limit or a leaving that is taken from the response of another lifetime at the target's address.
func TestNoticeOfAnotherLifetimeIsIgnored(t *testing.T) {
	f := newNoticeFixture(t, func(h http.Header) int {
		h.Set("Leaving", "1")
		h.Set("Limit", "1")
		return http.StatusMisdirectedRequest
	})
	assert.Equal(t, fault.KindOf(f.run(context.Background(), call("a"))), fault.WrongIncarnation)
	f.announce("i-1", 1000, false)
	assert.Equal(t, f.tracker.Target().State, lifetime.Ready)
	assert.Equal(t, f.controller.Report(time.Now()).Limit, 18)
}
