package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/requestid"
)

// state is the progress of a recorded request.
type state uint8

const (
	pending state = iota // an attempt may start; none was executed
	started              // an attempt was sent and its outcome is not known
	done                 // the request was executed
	gone                 // an attempt was sent to an incarnation that can no longer be queried
)

// record is the owner's state of one request id. It holds only the parts of the id that are needed to find it; the
// complete id is part of the tickets.
type record struct {
	seq         uint64
	callKeys    string
	next        *record // next id with the same sequence number: another sub-call of the same root
	contentHash uint64  // see hashContent
	executor    mustardmast.NodeID
	response    *Response
	nonce       uint32 // number of attempts dispatched so far
	claim       uint32 // claim of the newest ticket; older tickets are invalid
	retriesLeft uint16 // retries not lent to an attempt
	retriesLent uint16 // retries lent to the current attempt
	maxAttempt  uint16 // highest attempt number received from the caller
	state       state
	claimed     bool // a handler holds a valid ticket
}

// hashContent hashes what must be equal in all sends of one id. It includes the lengths, so that ("a", "bc") and ("ab",
// "c") differ.
func hashContent(r Request) uint64 {
	var n [16]byte
	for i, v := range []int{len(r.Service), len(r.Method), len(r.Backer)} {
		n[4*i] = byte(v)
		n[4*i+1] = byte(v >> 8)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(r.Service)
	_, _ = d.WriteString(r.Method)
	_, _ = d.WriteString(r.Backer)
	for i := range 8 {
		n[i] = byte(r.Digest >> (8 * i))
	}
	_, _ = d.Write(n[:8])
	return d.Sum64()
}

// newTicket claims the record for a new handler.
func (r *record) newTicket(id requestid.ID) Ticket {
	r.claim++
	r.claimed = true
	return Ticket{id: id, claim: r.claim}
}

func (r *record) attempt(id requestid.ID) Attempt {
	return Attempt{ID: id, Nonce: r.nonce, Executor: r.executor}
}

// find returns the record of id, or nil.
func (s *shard) find(id requestid.ID) *record {
	r := s.records[id.Sequence()]
	for r != nil && r.callKeys != id.CallKeys() {
		r = r.next
	}
	return r
}

func (s *shard) add(r *record) {
	r.next = s.records[r.seq]
	s.records[r.seq] = r
}

func (s *shard) remove(r *record) {
	first := s.records[r.seq]
	if first == r && r.next == nil {
		delete(s.records, r.seq)
		return
	}
	if first == r {
		s.records[r.seq] = r.next
		return
	}
	for first.next != r {
		first = first.next
	}
	first.next = r.next
}

// slot returns the number of seconds from origin to t, rounded up. When the slot of a record begins, the validity
// window of the record has ended.
func slot(t, origin time.Time) int64 {
	return int64(t.Sub(origin)/time.Second) + 1
}
