package retry

import "sync"

// Budget holds the retries that one request has left at one hop. Its methods are safe for concurrent use. The zero
// value allows no retries.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget returns a budget of the given number of units. The entry node chooses the number; any other hop passes the
// units that it was granted.
func NewBudget(units int) *Budget {
	return &Budget{left: max(units, 0)}
}

// Left returns the number of units that are neither spent nor granted.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Take spends one unit on a retry made by this hop. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Grant reserves units for one sub-call: all remaining units if the hop makes its sub-calls sequentially, or half of
// them, rounded up, if sub-calls may run in parallel.
func (b *Budget) Grant(sequential bool) *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.left
	if !sequential {
		n = (n + 1) / 2
	}
	return b.grant(n)
}

// GrantAllButOne reserves all remaining units but one for an attempt that this hop may have to retry itself. An attempt
// whose response is lost returns no units, so a hop that had granted everything could not retry it.
func (b *Budget) GrantAllButOne() *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grant(max(b.left-1, 0))
}

// grant reserves n units. The caller must hold b.mu.
func (b *Budget) grant(n int) *Grant {
	b.left -= n
	return &Grant{from: b, units: n}
}

// Grant is the part of a budget that is reserved for one sub-call. Its methods are safe for concurrent use.
type Grant struct {
	from   *Budget
	units  int
	closed bool // guarded by from.mu
}

// Units returns the number of retries that the sub-call may make.
func (g *Grant) Units() int { return g.units }

// Return returns the units that the sub-call did not spend. The number is limited to the grant, and only the first call
// has an effect, so a duplicated or forged response cannot add units.
func (g *Grant) Return(unused int) {
	g.from.mu.Lock()
	defer g.from.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.from.left += min(max(unused, 0), g.units)
}
