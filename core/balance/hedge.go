package balance

import "time"

const (
	minHedgeSamples     = 64 // answers needed for a meaningful p95
	hedgeRefreshAnswers = 32 // answers between two updates of the quantiles
)

// hedgeBudget is the token bucket for hedged sends of one service. Each call deposits a fraction of a token and the
// bucket starts empty, so that hedged sends never exceed that fraction of the calls.
type hedgeBudget struct {
	tokens       float64
	p95          time.Duration // of short calls; 0 before the first refresh
	p99          time.Duration
	untilRefresh int
}

func (h *hedgeBudget) deposit(s *Settings) {
	h.tokens = min(h.tokens+s.MaxHedgeFraction, s.MaxHedgeTokens)
}

// release returns the token of a reservation for which no hedged send was made.
func (h *hedgeBudget) release(s *Settings) { h.tokens = min(h.tokens+1, s.MaxHedgeTokens) }

// refreshQuantiles updates the quantiles every hedgeRefreshAnswers answers.
func (h *hedgeBudget) refreshQuantiles(l *latencyHistogram) {
	if h.untilRefresh--; h.untilRefresh > 0 || l.total < minHedgeSamples {
		return
	}
	h.untilRefresh = hedgeRefreshAnswers
	h.p95, h.p99 = l.quantile(0.95), l.quantile(0.99)
}

// reserve takes one token and returns the delay of the hedged send. At the p95, one call in twenty is late even without
// a straggler, which is more than the budget allows. So the delay is the p99 while less than half of the tokens are
// left: the other half is kept for a member that stalls.
func (h *hedgeBudget) reserve(s *Settings) (time.Duration, bool) {
	if h.p95 == 0 || h.tokens < 1 {
		return 0, false
	}
	d := h.p95
	if h.tokens < s.MaxHedgeTokens/2 {
		d = h.p99
	}
	h.tokens--
	return d, true
}
