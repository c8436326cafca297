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

// variant is the system under test. The zero value is the real one; each switch takes one mechanism away.
type variant struct {
	homeByHash         bool // the home of an id is found by its hash under a lease, instead of named by the id
	noTombstone        bool // the executor answers not-executed and remembers nothing
	noIncarnationCheck bool // a new process answers for the one before it
	retryAfterUnknown  bool // a broken connection is taken for not-executed
	recordAtExecutor   bool // only the executing node knows which requests started
	acceptOldAttempts  bool // callers do not raise the attempt number, so answered sends are not told from copies
	untrueWhenFull     bool // the executor answers not-executed also when no tombstone fits
	noFloor            bool // the executor forgets attempts after twice the window, as if they had never been
	small              bool // tables that fill; then messages are not duplicated, which refusals without a record rely on
	noKills            bool // shows a fault that needs no crash
}

// sim is a model of callers, nodes, targets and the links between them, under virtual time. Every choice, such as
// which message arrives next, comes from pick.
type sim struct {
	variant
	pick     func(n int) int
	now      time.Time
	nodes    []*node
	addr     map[mustardmast.NodeID]int
	former   []mustardmast.NodeID // incarnation before the current one, by address
	events   []event
	open     []*handler
	requests []*request
	shared   *requestid.Issuer
	cut      int // nodes below it cannot reach the others
	history  history.Requests
	ran      map[ledger.Attempt]bool
	said     map[ledger.Attempt]bool // the executor answered not-executed
	count    map[string]int
	fault    error
}

type node struct {
	s        *sim
	id       mustardmast.NodeID
	addr     int
	paused   bool
	boot     time.Time
	percent  time.Duration // rate of its clock
	issuer   *requestid.Issuer
	ledger   *ledger.Ledger
	register *register.Register
	ranHere  map[ledger.Attempt]bool
}

type request struct {
	id         requestid.ID
	attempts   int // sends
	executions int
	dispatches int
}

// event is something that happens at the process at one address: a message, or the next step of a handler.
type event struct {
	from, to int
	inc      mustardmast.NodeID // only this incarnation; 0 for any, as for messages
	copied   bool
	link     bool // may be lost
	twice    bool // may be duplicated
	run      func(n *node, copied bool)
}

func newSim(v variant, pick func(n int) int) *sim {
	s := &sim{variant: v, pick: pick, now: start, addr: map[mustardmast.NodeID]int{}, former: make([]mustardmast.NodeID, 4),
		ran: map[ledger.Attempt]bool{}, said: map[ledger.Attempt]bool{}, count: map[string]int{}}
	s.shared = requestid.NewIssuer(99, requestid.Key{99}, start, requestid.DefaultWindow)
	s.nodes = make([]*node, 4)
	for i := range s.nodes {
		s.boot(i)
	}
	return s
}

func (s *sim) boot(addr int) {
	id := mustardmast.NodeID(1000 + len(s.addr))
	n := &node{s: s, id: id, addr: addr, boot: s.now, percent: []time.Duration{30, 100, 100, 300}[s.pick(4)], ranHere: map[ledger.Attempt]bool{}}
	n.issuer = requestid.NewIssuer(id, requestid.Key{byte(id)}, s.now, requestid.DefaultWindow)
	if s.homeByHash {
		n.issuer = s.shared
	}
	n.ledger = ledger.New(n.issuer, s.limits())
	limits := register.DefaultLimits
	if s.noFloor {
		limits.Owners = 1
	}
	if s.small {
		limits.Records = 3
	}
	n.register = register.New(id, s.now, requestid.DefaultWindow, limits)
	if old := s.nodes[addr]; old != nil {
		s.former[addr] = old.id
	}
	s.nodes[addr] = n
	s.addr[id] = addr
}

// now is the node's own clock. Clocks of hosts are unrelated: they start with the process and run at different rates.
func (n *node) now() time.Time {
	return n.boot.Add(n.s.now.Sub(n.boot) * n.percent / 100)
}

func (s *sim) limits() ledger.Limits {
	if s.small {
		return ledger.Limits{Records: 3, Bytes: 200, ResponseBytes: 100}
	}
	return ledger.DefaultLimits
}

func (s *sim) failf(format string, args ...any) {
	if s.fault == nil {
		s.fault = fmt.Errorf(format, args...)
	}
}

// local schedules the next step of a process. It can be late, since processes are paused, and it dies with its process.
func (n *node) local(run func()) {
	n.s.events = append(n.s.events, event{from: n.addr, to: n.addr, inc: n.id, run: func(*node, bool) { run() }})
}

func (n *node) send(to int, inc mustardmast.NodeID, twice bool, run func(n *node, copied bool)) {
	n.s.events = append(n.s.events, event{from: n.addr, to: to, inc: inc, link: true, twice: twice && !n.s.small, run: run})
}

// deliver runs one event, unless its process is paused or cut off.
func (s *sim) deliver(i int) {
	e := s.events[i]
	n := s.nodes[e.to]
	if n.paused || (e.from < s.cut) != (e.to < s.cut) {
		return
	}
	s.events = append(s.events[:i], s.events[i+1:]...)
	if e.inc == 0 || e.inc == n.id {
		e.run(n, e.copied)
	}
}

// step makes one thing happen.
func (s *sim) step() {
	p := s.pick(100)
	i := 0
	if len(s.events) > 0 {
		i = s.pick(len(s.events))
	}
	switch {
	case p < 5:
		s.submit()
	case p < 11 && len(s.requests) > 0: // mostly a recent one, whose window is open
		recent := max(len(s.requests)-1-s.pick(8), 0)
		s.send(s.requests[recent])
	case p < 14 && len(s.events) > 0 && s.events[i].link:
		s.events = append(s.events[:i], s.events[i+1:]...)
	case p < 19 && len(s.events) > 0 && s.events[i].twice:
		e := s.events[i]
		e.copied = true
		s.events = append(s.events, e)
	case p < 23 && len(s.open) > 0:
		s.open[s.pick(len(s.open))].disturb()
	case p < 25:
		n := s.nodes[s.pick(len(s.nodes))]
		n.paused = !n.paused
	case p < 26 && !s.noKills:
		s.boot(s.pick(len(s.nodes)))
	case p < 27:
		s.cut = s.pick(len(s.nodes))
	case p < 30:
		s.now = s.now.Add([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
			10 * time.Second, 20 * time.Second, 300 * time.Second}[s.pick(8)])
	case len(s.events) > 0:
		s.deliver(i)
	}
}

// settle heals everything and lets all messages arrive.
func (s *sim) settle() {
	s.cut = 0
	for _, n := range s.nodes {
		n.paused = false
	}
	for i := 0; i < 5000 && len(s.events) > 0; i++ {
		s.deliver(s.pick(len(s.events)))
	}
}

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

// send is a send by the caller through any node.
func (s *sim) send(r *request) {
	if r.attempts == 12 {
		return
	}
	r.attempts++
	attempt := r.attempts
	told := s.history.Send(r.id.String(), attempt)
	entry := s.nodes[s.pick(len(s.nodes))]
	reply := func(o fault.Outcome, answer string) {
		entry.send(entry.addr, entry.id, false, func(*node, bool) {
			s.count["told "+o.String()]++
			told.Told(o, answer)
		})
	}
	entry.local(func() {
		if s.pick(20) == 0 { // refused by the entry node
			reply(fault.From(ledger.RejectWithoutRecord(attempt, fault.New(fault.Shed, ""))).Outcome(), "")
			return
		}
		owner, ok := s.ownerOf(r.id)
		entry.send(owner, 0, true, func(n *node, _ bool) {
			if !ok || n.id != r.id.Owner() && !s.homeByHash {
				reply(fault.Unknown, "")
				return
			}
			n.own(r, attempt, reply)
		})
	})
}

// ownerOf returns where the owner is.
func (s *sim) ownerOf(id requestid.ID) (int, bool) {
	if !s.homeByHash {
		a, ok := s.addr[id.Owner()]
		return a, ok
	}
	home := int(id.Sequence()) % len(s.nodes)
	if s.nodes[home].paused || home < s.cut { // its lease has expired
		home = (home + 1) % len(s.nodes)
	}
	return home, true
}
