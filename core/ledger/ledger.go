// Package ledger records the non-idempotent requests whose ids were issued by this node, so that each of them is
// executed at most once. The node that issued an id owns it, and only the owner's ledger permits an attempt to start.
//
// A record is in one of four states: pending (an attempt may start), started (an attempt was sent), done (the request
// was executed) and gone (an attempt was sent to a node incarnation that can no longer be queried). Begin finds or
// creates the record of a request and returns a Ticket, which gives its holder the exclusive right to handle the
// request. While the ticket is held, other calls of Begin with the same id fail as in-progress. The holder reports on
// each attempt:
//
//	RecordDispatch     before any byte of an attempt is sent    pending -> started
//	RecordNotExecuted  the attempt was not executed             started -> pending
//	NeedsQuery         the connection broke: whether the executor has to be queried
//	RecordStatus       the status reported by the executor      started -> pending, done, gone, or unchanged
//	RecordCompletion   the complete response was received       started -> done
//	Release            handling ends                            unchanged, and open to resends
//
// If a resend finds a started record that nobody handles, Begin returns the action QueryExecutor: the executor has to
// be queried before anything else is done. A record becomes pending again only when its attempt is known not to have
// been executed.
//
// A caller that receives not-executed must be able to rely on it for its earlier sends too, which may still be in
// transit. A record therefore keeps the highest attempt number seen so far, and a pending record rejects sends whose
// number is not higher; callers raise the number with each resend. For the same reason a node calls Begin before it
// rejects a request for any other reason. A node that does not own the id rejects with RejectWithoutRecord.
//
// Each request has a single retry budget. The first attempt is free; every further one takes one unit, whether a node's
// retry or a caller's resend caused it. The rest of the budget is lent to the attempt, and RecordNotExecuted returns
// what the attempt did not use.
//
// Records are kept until the validity window of their id ends, after which the id itself is rejected. They are never
// evicted; a full ledger rejects new ids. Small responses are kept for resends as long as the byte limit allows.
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

// Limits bound the memory of a ledger. New ids that would exceed them are rejected with fault.LedgerFull, and responses
// that would exceed them are not stored.
type Limits struct {
	Records       int // records whose validity window is open
	Bytes         int // total size of call keys and stored responses
	ResponseBytes int // largest response that is stored, in bytes
}

// DefaultLimits allow about 1,000 non-idempotent requests per second with the default validity window.
var DefaultLimits = Limits{Records: 131_072, Bytes: 8 << 20, ResponseBytes: 16 << 10}

// Request is one send of a request by a caller.
type Request struct {
	ID      requestid.ID
	Service string
	Method  string
	Backer  string
	Digest  uint64 // digest of the content
	Attempt int    // attempt number of the caller, 1 for the first send
	Retries int    // retry budget of the request; only that of the first send counts
}

// Attempt is one dispatch of a request to a node incarnation.
type Attempt struct {
	ID       requestid.ID
	Nonce    uint32 // increases with each dispatch of the id
	Executor mustardmast.NodeID
}

// Response is the complete response of a target.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Action is what the handler of a send has to do next.
type Action uint8

// Actions.
const (
	Dispatch      Action = iota // choose an executor, then call RecordDispatch
	QueryExecutor               // query the executor of Decision.Attempt, then call RecordStatus
	Replay                      // return Decision.Response to the caller
)

// Decision is the result of Begin.
type Decision struct {
	Action   Action
	Ticket   Ticket   // for Dispatch and QueryExecutor
	Attempt  Attempt  // for QueryExecutor
	Response Response // for Replay; shared, must not be modified
}

// Ticket grants one handler the exclusive right to work on a record. The zero value grants nothing.
type Ticket struct {
	id    requestid.ID
	claim uint32
}

// Ledger holds the records of one node incarnation. It is safe for concurrent use.
type Ledger struct {
	issuer  *requestid.Issuer
	limits  Limits
	origin  time.Time // end of the validity window of an id issued at process start; slots are counted from it
	records atomic.Int64
	bytes   atomic.Int64
	shards  [shards]shard
}

type shard struct {
	mu       sync.Mutex
	records  map[uint64]*record  // by sequence number
	byExpiry map[int64][]*record // records by the slot in which they expire; see slot
	nextSlot int64
}

// New returns an empty ledger for the ids issued by issuer.
func New(issuer *requestid.Issuer, l Limits) *Ledger {
	g := &Ledger{issuer: issuer, limits: l, origin: issuer.Expiry(requestid.ID{})}
	for i := range g.shards {
		g.shards[i].records = make(map[uint64]*record)
		g.shards[i].byExpiry = make(map[int64][]*record)
	}
	return g
}

// Len returns the number of records.
func (g *Ledger) Len() int { return int(g.records.Load()) }

// Bytes returns the total size of the stored call keys and responses.
func (g *Ledger) Bytes() int { return int(g.bytes.Load()) }

// Begin decides how one send of a request is handled. If the decision carries a ticket, the handler must call Release
// when it ends. Errors are of type *fault.Error and carry the outcome that is reported to the caller.
func (g *Ledger) Begin(now time.Time, q Request) (Decision, error) {
	if err := g.issuer.Verify(now, q.ID); err != nil {
		return Decision{}, err
	}
	contentHash := hashContent(q)
	s := g.shard(q.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.sweep(s, now)
	r := s.find(q.ID)
	if r == nil {
		if r = g.create(s, q, contentHash); r == nil {
			return Decision{}, ledgerFullError(q)
		}
		return Decision{Action: Dispatch, Ticket: r.newTicket(q.ID)}, nil
	}
	if r.contentHash != contentHash {
		return Decision{}, fault.New(fault.RequestIDReused, "first used with another method, backer or content")
	}
	return r.resend(q)
}

// RejectWithoutRecord returns the error with which a node rejects a send if it does not own the id or could not reach
// the owner's ledger. An earlier send of the id may have been executed or may still be in transit, so the outcome
// not-executed is kept only for a first send.
func RejectWithoutRecord(attempt int, rejection error) error {
	if rejection == nil {
		return nil
	}
	e := fault.From(rejection)
	if attempt > 1 && e.Outcome() == fault.NotExecuted {
		return e.WithOutcome(fault.Unknown)
	}
	return e
}

// ledgerFullError rejects a new id. Without a record, earlier sends of this id can still start, so only a first send
// can be reported as not executed.
func ledgerFullError(q Request) error {
	return RejectWithoutRecord(q.Attempt, fault.New(fault.LedgerFull, "the ledger of the node that issued the request id is full"))
}

// resend decides how a further send of a recorded request is handled.
func (r *record) resend(q Request) (Decision, error) {
	superseded := q.Attempt <= int(r.maxAttempt)
	r.maxAttempt = max(r.maxAttempt, clampUint16(q.Attempt))
	switch {
	case r.state == done && r.response != nil:
		return Decision{Action: Replay, Response: *r.response}, nil
	case r.state == done:
		return Decision{}, fault.New(fault.AlreadyExecuted, "the response is no longer stored")
	case r.state == gone:
		return Decision{}, fault.New(fault.OutcomeUnknown, "the node that may have executed the request no longer exists")
	case r.claimed:
		return Decision{}, fault.New(fault.InProgress, "another send of this request is being handled")
	case r.state == started:
		return Decision{Action: QueryExecutor, Ticket: r.newTicket(q.ID), Attempt: r.attempt(q.ID)}, nil
	case superseded:
		return Decision{}, fault.Newf(fault.Fenced,
			"attempt %d was not executed and can no longer start; resend with a higher attempt number", q.Attempt)
	default:
		return Decision{Action: Dispatch, Ticket: r.newTicket(q.ID)}, nil
	}
}

// create adds a record for a new id, or returns nil when the ledger is full.
func (g *Ledger) create(s *shard, q Request, contentHash uint64) *record {
	if g.records.Add(1) > int64(g.limits.Records) {
		g.records.Add(-1)
		return nil
	}
	if !g.reserveBytes(len(q.ID.CallKeys())) {
		g.records.Add(-1)
		return nil
	}
	r := &record{seq: q.ID.Sequence(), callKeys: q.ID.CallKeys(), contentHash: contentHash,
		retriesLeft: clampUint16(q.Retries), maxAttempt: clampUint16(q.Attempt)}
	s.add(r)
	expiry := slot(g.issuer.Expiry(q.ID), g.origin)
	s.byExpiry[expiry] = append(s.byExpiry[expiry], r)
	return r
}

// Tick removes the records whose validity window has ended. It has to be called about once per second; otherwise
// expired records of an unused shard would count against the limits and keep out new ids.
func (g *Ledger) Tick(now time.Time) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		g.sweep(s, now)
		s.mu.Unlock()
	}
}

// reserveBytes reserves n bytes of the byte limit and reports whether they were available.
func (g *Ledger) reserveBytes(n int) bool {
	if g.bytes.Add(int64(n)) > int64(g.limits.Bytes) {
		g.bytes.Add(-int64(n))
		return false
	}
	return true
}

// sweep removes the expired records of one shard. The issuer rejects their ids from then on.
func (g *Ledger) sweep(s *shard, now time.Time) {
	lastSlot := slot(now, g.origin) - 1
	for ; s.nextSlot <= lastSlot && len(s.byExpiry) > 0; s.nextSlot++ {
		for _, r := range s.byExpiry[s.nextSlot] {
			g.drop(s, r)
		}
		delete(s.byExpiry, s.nextSlot)
	}
	s.nextSlot = max(s.nextSlot, lastSlot+1)
}

// drop removes a record and releases what it counts against the limits.
func (g *Ledger) drop(s *shard, r *record) {
	n := len(r.callKeys)
	if r.response != nil {
		n += r.response.size()
	}
	s.remove(r)
	g.records.Add(-1)
	g.bytes.Add(-int64(n))
}

func (g *Ledger) shard(id requestid.ID) *shard { return &g.shards[id.Sequence()%shards] }

func (r *Response) size() int { return len(r.ContentType) + len(r.Body) }

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }
