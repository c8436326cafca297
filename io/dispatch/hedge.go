package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// hedged is one attempt that may make a second send when the first is late. The first successful answer wins and the
// other send is cancelled.
type hedged struct {
	d        *Dispatcher
	r        *message.Request
	b        *retry.Budget
	tries    *tries
	withheld uint32
	done     chan sent
	cancel   [2]context.CancelFunc
	twice    atomic.Bool // the second send was made
}

// sent is how one of the two sends ended.
type sent struct {
	index  int
	answer execute.Reply
	err    error
}

func (h *hedged) run(ctx context.Context, first mustardmast.Member, wait time.Duration) (execute.Reply, error) {
	h.done = make(chan sent, len(h.cancel))
	h.start(ctx, 0, first, sendOptions{withheld: h.withheld, repeats: h.tries.repeats(), hedgeUnused: func() bool { return !h.twice.Load() }})
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case s := <-h.done:
		return h.finish(s)
	case <-t.C:
	}
	second, ok := h.d.p.Picker.Pick(h.d.p.Clock.Now(), h.r.Call, h.d.p.Members.Serving(h.r.Call.Service()), h.tries.members)
	if !ok {
		return h.finish(<-h.done)
	}
	h.tries.add(second.ID)
	h.twice.Store(true)
	h.d.p.Meter.Hedged()
	h.start(ctx, 1, second, sendOptions{repeats: h.tries.repeats()})
	s := <-h.done
	if s.err != nil {
		h.cancel[s.index]()
		ran := fault.From(s.err).Outcome() != fault.NotExecuted
		a, err := h.finish(<-h.done)
		if err != nil {
			err = mayHaveRun(err, ran)
		}
		return a, err
	}
	h.cancel[1-s.index]()
	go h.drop()
	return h.finish(s)
}

// start makes one send in the background.
func (h *hedged) start(ctx context.Context, index int, m mustardmast.Member, o sendOptions) {
	ctx, cancel := context.WithCancel(ctx)
	h.cancel[index] = cancel
	g := h.b.GrantAllButOne()
	go func() {
		a, err := h.d.send(ctx, m, h.r, g, o)
		h.done <- sent{index: index, answer: a, err: err}
	}()
}

// finish keeps the send's context until its response is closed.
func (h *hedged) finish(s sent) (execute.Reply, error) {
	cancel := h.cancel[s.index]
	if s.err != nil {
		cancel()
		return s.answer, s.err
	}
	s.answer.Response.Body = &countedBody{ReadCloser: s.answer.Response.Body, done: func(error) { cancel() }}
	return s.answer, nil
}

// drop closes the answer of the send that lost.
func (h *hedged) drop() {
	if s := <-h.done; s.err == nil {
		_ = s.answer.Response.Body.Close()
	}
}
