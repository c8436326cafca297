// Package ledger is the owner's record of the non-idempotent requests whose ids it issued. It is the only place that
// lets such a request start.
//
// A record is pending (may start), started (an attempt was sent), done (ran) or gone (an attempt was sent to a node
// that can never be asked). Begin opens or finds the record and gives the caller of Begin a Ticket, the claim to work
// on it; everybody else who begins the same id meanwhile is told in-progress. With the ticket:
//
//	RecordDispatch     before any byte of an attempt leaves    pending -> started
//	RecordNotExecuted  the attempt was truly not executed      started -> pending
//	NeedsQuery         the connection broke: whether to ask the executor
//	RecordStatus       what the executor said                  started -> pending, done, gone, or unchanged
//	RecordCompletion   the complete answer has arrived         started -> done
//	Release            the handler gives up                    the record stays as it is, open to resends
//
// A resend that finds a started record without a handler gets the action QueryExecutor: it has to ask the executor before
// anything else. Only an attempt that was truly not executed makes the record pending again.
//
// A refusal that a caller is told as not-executed must hold for its earlier sends too, which may still be on the way.
// So a record remembers the highest attempt number that it has seen, and a pending record refuses sends with a number
// that is not higher: a caller raises the number with each resend. For the same reason a node calls Begin before it
// refuses a request for any other reason. A node that is not the owner refuses with RejectWithoutRecord.
//
// One retry budget belongs to the request. The first attempt is free; each further one, whether a node's retry or a
// caller's resend asked for it, takes one unit. What is left is lent to the attempt and comes back with RecordNotExecuted.
//
// Records live until the window of their id ends, when the id itself is refused. They are never evicted; a full ledger
// refuses new ids. Small answers are kept for resends while the byte budget lasts.
package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/requestid"
)

const shards = 64

// Limits bound the memory of a ledger.
type Limits struct {
	Records       int // records of open windows
	Bytes         int // call keys and kept answers
	ResponseBytes int // largest answer that is kept
}

// DefaultLimits allow about 1,000 non-idempotent requests a second at the default window.
var DefaultLimits = Limits{Records: 131_072, Bytes: 8 << 20, ResponseBytes: 16 << 10}

// Request is what a caller asks for.
type Request struct {
	ID      requestid.ID
	Service string
	Method  string
	Backer  string
	Digest  uint64 // of the content
	Attempt int    // the caller's attempt number
	Retries int    // the request's retry budget; only the first send's counts
}

// Attempt is one dispatch of a request to one node incarnation.
type Attempt struct {
	ID       requestid.ID
	Nonce    uint32 // rises with each dispatch of the id
	Executor mustardmast.NodeID
}

// Response is a complete answer of a target.
type Response struct {
	Status      int
	ContentType string // content type
	Body        []byte
}

// Action is what the handler of a send has to do.
type Action uint8

// Actions.
const (
	Dispatch      Action = iota // choose an executor, then call RecordDispatch
	QueryExecutor               // ask the executor of Decision.Attempt, then call RecordStatus
	Replay                      // give Decision.Response to the caller
)

// Decision is the result of Begin.
type Decision struct {
	Action   Action
	Ticket   Ticket   // for Dispatch and QueryExecutor
	Attempt  Attempt  // for QueryExecutor
	Response Response // for Replay; it is shared and must not be changed
}

// Ticket is the claim of one handler on one record. The zero value claims nothing.
type Ticket struct {
	id    requestid.ID
	claim uint32
}

// Ledger holds the records of one node incarnation. It is safe for concurrent use.
type Ledger struct {
	issuer  *requestid.Issuer
	limits  Limits
	origin  time.Time // end of the window of an id issued at process start
	records atomic.Int64
	bytes   atomic.Int64
	shards  [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[uint64]*record  // by sequence number
	ends    map[int64][]*record // records by the second in which their window has ended
	swept   int64
}

// New returns an empty ledger for the ids of issuer.
func New(issuer *requestid.Issuer, l Limits) *Ledger {
	g := &Ledger{issuer: issuer, limits: l, origin: issuer.Expiry(requestid.ID{})}
	for i := range g.shards {
		g.shards[i].records = make(map[uint64]*record)
		g.shards[i].ends = make(map[int64][]*record)
	}
	return g
}

// Len returns the number of records.
func (g *Ledger) Len() int { return int(g.records.Load()) }

// Bytes returns the size of the call keys and answers that are kept.
func (g *Ledger) Bytes() int { return int(g.bytes.Load()) }

// Begin decides on one send of a request. Errors are *fault.Error with the outcome that the caller is told.
func (g *Ledger) Begin(now time.Time, q Request) (Decision, error) {
	if err := g.issuer.Verify(now, q.ID); err != nil {
		return Decision{}, err
	}
	identity := identityOf(q)
	s := g.shard(q.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.sweep(s, now)
	r := s.find(q.ID)
	if r == nil {
		if r = g.open(s, q, identity); r == nil {
			return Decision{}, full(q)
		}
		return Decision{Action: Dispatch, Ticket: r.claimFor(q.ID)}, nil
	}
	if r.identity != identity {
		return Decision{}, fault.New(fault.RequestIDReused, "first used with another method, backer or content")
	}
	return r.resend(q)
}

// RejectWithoutRecord returns the refusal of a send by a node that is not the owner of its id, or that reached no ledger.
// Earlier sends of the id may have run or may still be on the way, so only a first send is told not-executed.
func RejectWithoutRecord(attempt int, refusal error) error {
	if refusal == nil {
		return nil
	}
	e := fault.From(refusal)
	if attempt > 1 && e.Outcome() == fault.NotExecuted {
		return e.WithOutcome(fault.Unknown)
	}
	return e
}

// full is the refusal of a new id. Without a record nothing keeps the earlier sends of this id out, so only a first
// send can be told that it was not executed.
func full(q Request) error {
	return RejectWithoutRecord(q.Attempt, fault.New(fault.LedgerFull, "the owner of the request id holds as many records as it may"))
}

// resend decides on a further send of a recorded request.
func (r *record) resend(q Request) (Decision, error) {
	late := q.Attempt <= int(r.seen)
	r.seen = max(r.seen, clamp(q.Attempt))
	switch {
	case r.state == done && r.answer != nil:
		return Decision{Action: Replay, Response: *r.answer}, nil
	case r.state == done:
		return Decision{}, fault.New(fault.AlreadyExecuted, "the answer is no longer held")
	case r.state == gone:
		return Decision{}, fault.New(fault.OutcomeUnknown, "the node that may have executed it is gone")
	case r.held:
		return Decision{}, fault.New(fault.InProgress, "another send of this request is being handled")
	case r.state == started:
		return Decision{Action: QueryExecutor, Ticket: r.claimFor(q.ID), Attempt: r.attempt(q.ID)}, nil
	case late:
		return Decision{}, fault.Newf(fault.Fenced, "attempt %d was not executed and cannot start any more; resend with a higher attempt number",
			q.Attempt)
	default:
		return Decision{Action: Dispatch, Ticket: r.claimFor(q.ID)}, nil
	}
}

// open adds a record for a new id, or returns nil when the ledger is full.
func (g *Ledger) open(s *shard, q Request, identity uint64) *record {
	if g.records.Add(1) > int64(g.limits.Records) {
		g.records.Add(-1)
		return nil
	}
	if !g.reserve(len(q.ID.CallKeys())) {
		g.records.Add(-1)
		return nil
	}
	r := &record{seq: q.ID.Sequence(), keys: q.ID.CallKeys(), identity: identity, left: clamp(q.Retries), seen: clamp(q.Attempt)}
	s.add(r)
	at := slot(g.issuer.Expiry(q.ID), g.origin)
	s.ends[at] = append(s.ends[at], r)
	return r
}

// Tick drops the records whose windows have ended. It is called about once a second; without it, ended records of one
// shard could keep new ids of another out.
func (g *Ledger) Tick(now time.Time) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		g.sweep(s, now)
		s.mu.Unlock()
	}
}

// reserve takes n bytes of the budget.
func (g *Ledger) reserve(n int) bool {
	if g.bytes.Add(int64(n)) > int64(g.limits.Bytes) {
		g.bytes.Add(-int64(n))
		return false
	}
	return true
}

// sweep drops the records whose windows have ended. Their ids are refused by the issuer from then on.
func (g *Ledger) sweep(s *shard, now time.Time) {
	upTo := slot(now, g.origin) - 1
	for ; s.swept <= upTo && len(s.ends) > 0; s.swept++ {
		for _, r := range s.ends[s.swept] {
			g.drop(s, r)
		}
		delete(s.ends, s.swept)
	}
	s.swept = max(s.swept, upTo+1)
}

func (g *Ledger) drop(s *shard, r *record) {
	n := len(r.keys)
	if r.answer != nil {
		n += r.answer.size()
	}
	s.remove(r)
	g.records.Add(-1)
	g.bytes.Add(-int64(n))
}

func (g *Ledger) shard(id requestid.ID) *shard { return &g.shards[id.Sequence()%shards] }

func (a *Response) size() int { return len(a.ContentType) + len(a.Body) }

func clamp(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }
