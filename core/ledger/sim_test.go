package ledger_test

import (
	"fmt"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/internal/history"
)

// variant selects the protocol under test. The zero value is the real one; each flag removes or replaces one mechanism.
type variant struct {
	ownerByHash              bool // the owner of an id is found by hash under a lease, instead of being part of the id
	noTombstone              bool // the executor reports not-executed without recording it
	noIncarnationCheck       bool // a new process answers on behalf of its predecessor
	retryAfterUnknown        bool // a broken connection is treated as not-executed
	recordAtExecutor         bool // only the executor records which requests have started
	acceptOldAttempts        bool // every send gets a new attempt number, so late copies of rejected sends start
	falseNotExecutedWhenFull bool // the executor reports not-executed even when it has no room for a tombstone
	singleWatermark          bool // the executor keeps one owner's watermark, so dropped attempts of others can start
	smallTables              bool // low limits, and no duplicates, as rejections without a record rely on their absence
	noRestarts               bool // no process restarts, to show a violation that needs none
}

// sim simulates callers, nodes, targets and the links between them in virtual time. Every choice, such as which message
// is delivered next, comes from pick.
type sim struct {
	variant
	pick                func(n int) int
	now                 time.Time
	nodes               []*node
	addr                map[mustardmast.NodeID]int
	previous            []mustardmast.NodeID // previous incarnation at each address
	events              []event
	handlers            []*handler
	requests            []*request
	sharedIssuer        *requestid.Issuer
	partition           int // nodes with an address below it cannot reach the others
	history             history.Requests
	executed            map[ledger.Attempt]bool
	reportedNotExecuted map[ledger.Attempt]bool // attempts that an executor reported as not executed
	count               map[string]int
	violation           error
}

type node struct {
	s            *sim
	id           mustardmast.NodeID
	addr         int
	paused       bool
	boot         time.Time
	clockPercent time.Duration // speed of its clock
	issuer       *requestid.Issuer
	ledger       *ledger.Ledger
	register     *register.Register
	executedHere map[ledger.Attempt]bool // attempts that this incarnation executed
}

type request struct {
	id         requestid.ID
	sends      int // number of sends by the caller
	executions int
	dispatches int
}

// event takes place in the process at address to: the delivery of a message, or the next step of a handler.
type event struct {
	from, to    int
	incarnation mustardmast.NodeID // delivered to this incarnation only; 0 for any
	duplicate   bool
	remote      bool // a message, which may be lost
	duplicable  bool // a message that may be duplicated
	run         func(n *node, duplicate bool)
}

func newSim(v variant, pick func(n int) int) *sim {
	s := &sim{variant: v, pick: pick, now: start, addr: map[mustardmast.NodeID]int{}, previous: make([]mustardmast.NodeID, 4),
		executed: map[ledger.Attempt]bool{}, reportedNotExecuted: map[ledger.Attempt]bool{}, count: map[string]int{}}
	s.sharedIssuer = requestid.NewIssuer(99, requestid.Key{99}, start, requestid.DefaultWindow)
	s.nodes = make([]*node, 4)
	for i := range s.nodes {
		s.boot(i)
	}
	return s
}

// boot starts a new incarnation at an address and ends the one that ran there.
func (s *sim) boot(addr int) {
	id := mustardmast.NodeID(1000 + len(s.addr))
	n := &node{s: s, id: id, addr: addr, boot: s.now, clockPercent: []time.Duration{30, 100, 100, 300}[s.pick(4)],
		executedHere: map[ledger.Attempt]bool{}}
	n.issuer = requestid.NewIssuer(id, requestid.Key{byte(id)}, s.now, requestid.DefaultWindow)
	if s.ownerByHash {
		n.issuer = s.sharedIssuer
	}
	n.ledger = ledger.New(n.issuer, s.limits())
	limits := register.DefaultLimits
	if s.singleWatermark {
		limits.Owners = 1
	}
	if s.smallTables {
		limits.Records = 3
	}
	n.register = register.New(id, s.now, requestid.DefaultWindow, limits)
	if old := s.nodes[addr]; old != nil {
		s.previous[addr] = old.id
	}
	s.nodes[addr] = n
	s.addr[id] = addr
}

// now returns the node's local time. Clocks of hosts are unrelated: each starts with its process and has its own speed.
func (n *node) now() time.Time {
	return n.boot.Add(n.s.now.Sub(n.boot) * n.clockPercent / 100)
}

func (s *sim) limits() ledger.Limits {
	if s.smallTables {
		return ledger.Limits{Records: 3, Bytes: 200, ResponseBytes: 100}
	}
	return ledger.DefaultLimits
}

func (s *sim) failf(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// local schedules the next step of a process. The step is delayed while the process is paused, and lost if it restarts.
func (n *node) local(run func()) {
	n.s.events = append(n.s.events, event{from: n.addr, to: n.addr, incarnation: n.id, run: func(*node, bool) { run() }})
}

// send schedules the delivery of a message to an address, or only to one incarnation there if that is not 0.
func (n *node) send(to int, incarnation mustardmast.NodeID, duplicable bool, run func(n *node, duplicate bool)) {
	n.s.events = append(n.s.events, event{from: n.addr, to: to, incarnation: incarnation, remote: true,
		duplicable: duplicable && !n.s.smallTables, run: run})
}

// deliver processes one event, unless its process is paused or partitioned off.
func (s *sim) deliver(i int) {
	e := s.events[i]
	n := s.nodes[e.to]
	if n.paused || (e.from < s.partition) != (e.to < s.partition) {
		return
	}
	s.events = append(s.events[:i], s.events[i+1:]...)
	if e.incarnation == 0 || e.incarnation == n.id {
		e.run(n, e.duplicate)
	}
}

// step takes one random action.
func (s *sim) step() {
	p := s.pick(100)
	i := 0
	if len(s.events) > 0 {
		i = s.pick(len(s.events))
	}
	switch {
	case p < 5:
		s.submit()
	case p < 11 && len(s.requests) > 0: // a recent one, whose validity window is probably open
		recent := max(len(s.requests)-1-s.pick(8), 0)
		s.send(s.requests[recent])
	case p < 14 && len(s.events) > 0 && s.events[i].remote: // a message is lost
		s.events = append(s.events[:i], s.events[i+1:]...)
	case p < 19 && len(s.events) > 0 && s.events[i].duplicable:
		e := s.events[i]
		e.duplicate = true
		s.events = append(s.events, e)
	case p < 23 && len(s.handlers) > 0:
		s.handlers[s.pick(len(s.handlers))].interrupt()
	case p < 25:
		n := s.nodes[s.pick(len(s.nodes))]
		n.paused = !n.paused
	case p < 26 && !s.noRestarts:
		s.boot(s.pick(len(s.nodes)))
	case p < 27:
		s.partition = s.pick(len(s.nodes))
	case p < 30:
		s.now = s.now.Add([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
			10 * time.Second, 20 * time.Second, 300 * time.Second}[s.pick(8)])
	case len(s.events) > 0:
		s.deliver(i)
	}
}

// drain ends all pauses and the partition, then delivers the remaining messages.
func (s *sim) drain() {
	s.partition = 0
	for _, n := range s.nodes {
		n.paused = false
	}
	for i := 0; i < 5000 && len(s.events) > 0; i++ {
		s.deliver(s.pick(len(s.events)))
	}
}

// submit creates a request and sends it for the first time.
func (s *sim) submit() {
	n := s.nodes[s.pick(len(s.nodes))]
	id := n.issuer.Issue(n.now(), 1)[0]
	if len(s.requests) > 0 && s.pick(4) == 0 { // a sub-call
		text, err := requestid.SubCallID(s.requests[s.pick(len(s.requests))].id.String(), fmt.Sprintf("k%d", len(s.requests)))
		if sub, ok := requestid.Parse(text); ok && err == nil {
			id = sub
		}
	}
	r := &request{id: id}
	s.requests = append(s.requests, r)
	s.send(r)
}

// send sends the request from its caller through a random node.
func (s *sim) send(r *request) {
	if r.sends == 12 {
		return
	}
	r.sends++
	attempt := r.sends
	result := s.history.Send(r.id.String(), attempt)
	entry := s.nodes[s.pick(len(s.nodes))]
	reply := func(o fault.Outcome, response string) {
		entry.send(entry.addr, entry.id, false, func(*node, bool) {
			s.count["outcome "+o.String()]++
			result.RecordOutcome(o, response)
		})
	}
	entry.local(func() {
		if s.pick(20) == 0 { // rejected by the entry node
			reply(fault.From(ledger.RejectWithoutRecord(attempt, fault.New(fault.Shed, ""))).Outcome(), "")
			return
		}
		owner, ok := s.ownerOf(r.id)
		entry.send(owner, 0, true, func(n *node, _ bool) {
			if !ok || n.id != r.id.Owner() && !s.ownerByHash {
				reply(fault.Unknown, "")
				return
			}
			n.handleSend(r, attempt, reply)
		})
	})
}

// ownerOf returns the address of the owner of an id, or false if the owner is unknown.
func (s *sim) ownerOf(id requestid.ID) (int, bool) {
	if !s.ownerByHash {
		a, ok := s.addr[id.Owner()]
		return a, ok
	}
	home := int(id.Sequence()) % len(s.nodes)
	if s.nodes[home].paused || home < s.partition { // its lease has expired
		home = (home + 1) % len(s.nodes)
	}
	return home, true
}
