package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/requestid"
)

// state says whether the request may start.
type state uint8

const (
	pending state = iota // may start; no attempt of it ran
	started              // an attempt was sent and how it ended is not known yet
	done                 // ran
	gone                 // an attempt was sent to an incarnation that can never be asked
)

// record is what the owner knows about one id. The id itself is in the tickets; the record has what finds it.
type record struct {
	seq      uint64
	keys     string
	next     *record // another id with the same sequence number, that is another sub-call of one root
	identity uint64  // hash over method, backer and content
	executor mustardmast.NodeID
	answer   *Response
	nonce    uint32 // attempts dispatched so far
	claim    uint32 // claims given so far; a ticket with an older one has no say
	left     uint16 // retries not lent to an attempt
	lent     uint16 // retries lent to the attempt that is out
	seen     uint16 // highest attempt number of the caller
	state    state
	held     bool // a handler works on this record
}

// identityOf is the hash of what must not change between two sends of one id. The lengths keep ("a", "bc") and
// ("ab", "c") apart.
func identityOf(r Request) uint64 {
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

// claimFor gives the record to a new handler.
func (r *record) claimFor(id requestid.ID) Ticket {
	r.claim++
	r.held = true
	return Ticket{id: id, claim: r.claim}
}

func (r *record) attempt(id requestid.ID) Attempt {
	return Attempt{ID: id, Nonce: r.nonce, Executor: r.executor}
}

// find returns the record of id, or nil.
func (s *shard) find(id requestid.ID) *record {
	r := s.records[id.Sequence()]
	for r != nil && r.keys != id.CallKeys() {
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

// slot numbers the seconds since origin, rounded up: at the start of a record's slot its window has ended.
func slot(t, origin time.Time) int64 {
	return int64(t.Sub(origin)/time.Second) + 1
}
