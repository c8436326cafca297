package retry

import "sync"

// Budget is the rest of one request's retries at one hop. Its methods are safe for concurrent use. The zero value
// allows no retries.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget returns a budget of units, as received by the hop. Only the entry node chooses the number; any other hop
// passes what it was granted.
func NewBudget(units int) *Budget {
	return &Budget{left: max(units, 0)}
}

// Left returns the units that are neither spent nor granted.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Take spends one unit on a retry made by this hop.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Grant sets units aside for one sub-call: all that is left if the hop makes its sub-calls one after the other, half
// of it, rounded up, if sub-calls may run in parallel.
func (b *Budget) Grant(sequential bool) *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.left
	if !sequential {
		n = (n + 1) / 2
	}
	return b.grant(n)
}

// GrantAllButOne sets units aside for one attempt that this hop may have to repeat itself: all but one. An attempt whose answer is
// lost returns nothing, and a hop that had granted everything could not send again.
func (b *Budget) GrantAllButOne() *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grant(max(b.left-1, 0))
}

// grant is called with the lock held.
func (b *Budget) grant(n int) *Grant {
	b.left -= n
	return &Grant{from: b, units: n}
}

// Grant is the part of a budget that one sub-call may spend.
type Grant struct {
	from   *Budget
	units  int
	closed bool // guarded by from.mu
}

// Units returns how many retries the sub-call may make.
func (g *Grant) Units() int { return g.units }

// Return gives back what the sub-call did not spend. More than was granted is cut to the grant, and only the first
// call counts: a repeated or forged answer cannot add units.
func (g *Grant) Return(unused int) {
	g.from.mu.Lock()
	defer g.from.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.from.left += min(max(unused, 0), g.units)
}
