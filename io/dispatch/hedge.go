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

// hedgedSend is an attempt that makes a second, hedged send if the first one is slow. The first successful response is
// returned, and the other send is canceled.
type hedgedSend struct {
	d           *Dispatcher
	r           *message.Request
	budget      *retry.Budget
	sendHistory *sendHistory
	withheld    uint32
	results     chan sendResult
	cancel      [2]context.CancelFunc
	secondSent  atomic.Bool
}

// sendResult is the result of one of the two sends.
type sendResult struct {
	index int
	reply execute.Reply
	err   error
}

func (h *hedgedSend) run(ctx context.Context, first mustardmast.Member, wait time.Duration) (execute.Reply, error) {
	h.results = make(chan sendResult, len(h.cancel))
	h.startSend(ctx, 0, first, sendOptions{withheld: h.withheld, earlierSends: h.sendHistory.earlierSends(), hedgeUnused: func() bool { return !h.secondSent.Load() }})
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case s := <-h.results:
		return h.finishSend(s)
	case <-t.C:
	}
	second, ok := h.d.options.Picker.Pick(h.d.options.Clock.Now(), h.r.Call, h.d.options.Members.Serving(h.r.Call.Service()), h.sendHistory.members)
	if !ok {
		return h.finishSend(<-h.results)
	}
	h.sendHistory.record(second.ID)
	h.secondSent.Store(true)
	h.d.options.Meter.Hedged()
	h.startSend(ctx, 1, second, sendOptions{earlierSends: h.sendHistory.earlierSends()})
	s := <-h.results
	if s.err != nil {
		h.cancel[s.index]()
		maybeExecuted := fault.From(s.err).Outcome() != fault.NotExecuted
		reply, err := h.finishSend(<-h.results)
		if err != nil {
			err = outcomeOfAllSends(err, maybeExecuted)
		}
		return reply, err
	}
	h.cancel[1-s.index]()
	go h.discardLoser()
	return h.finishSend(s)
}

// startSend starts a send in the background. Its result goes to h.results.
func (h *hedgedSend) startSend(ctx context.Context, index int, m mustardmast.Member, o sendOptions) {
	ctx, cancel := context.WithCancel(ctx)
	h.cancel[index] = cancel
	g := h.budget.GrantAllButOne()
	go func() {
		result, err := h.d.send(ctx, m, h.r, g, o)
		h.results <- sendResult{index: index, reply: result, err: err}
	}()
}

// finishSend returns the result of a send, whose context is canceled when the response is closed.
func (h *hedgedSend) finishSend(s sendResult) (execute.Reply, error) {
	cancel := h.cancel[s.index]
	if s.err != nil {
		cancel()
		return s.reply, s.err
	}
	s.reply.Response.Body = &reportingBody{ReadCloser: s.reply.Response.Body, onClose: func(error) { cancel() }}
	return s.reply, nil
}

// discardLoser waits for the send that lost and closes its response.
func (h *hedgedSend) discardLoser() {
	if s := <-h.results; s.err == nil {
		_ = s.reply.Response.Body.Close()
	}
}
