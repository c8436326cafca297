package balance

import "time"

const (
	hedgeSamples = 64 // answers needed before the p95 means anything
	hedgeRefresh = 32 // answers between two computations of the quantiles
)

// hedges is the budget of second sends of one service. It earns a share per call and starts empty, so the second
// sends are never more than that share of the calls.
type hedges struct {
	saved     float64
	usual     time.Duration // p95 of short calls
	late      time.Duration // p99 of short calls
	untilNext int
}

func (h *hedges) earn(s *Settings) { h.saved = min(h.saved+s.MaxHedgeFraction, s.MaxHedgeTokens) }

// giveBack returns a reservation for which no second send was made.
func (h *hedges) giveBack(s *Settings) { h.saved = min(h.saved+1, s.MaxHedgeTokens) }

// refresh takes the quantiles over from time to time.
func (h *hedges) refresh(l *latencies) {
	if h.untilNext--; h.untilNext > 0 || l.total < hedgeSamples {
		return
	}
	h.untilNext = hedgeRefresh
	h.usual, h.late = l.quantile(0.95), l.quantile(0.99)
}

// reserve takes one second send from the budget and returns when to make it. At the p95, one call in twenty is late
// even without a straggler, which is more than the budget earns. So with less than half of the budget saved the delay
// is the p99: the other half is kept for a member that stalls.
func (h *hedges) reserve(s *Settings) (time.Duration, bool) {
	if h.usual == 0 || h.saved < 1 {
		return 0, false
	}
	d := h.usual
	if h.saved < s.MaxHedgeTokens/2 {
		d = h.late
	}
	h.saved--
	return d, true
}
