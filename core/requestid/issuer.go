package requestid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// DefaultWindow is how long an id may start its request, counted from its issue.
const DefaultWindow = 120 * time.Second

// MaxRange is the largest number of ids that one call of Issue hands out.
const MaxRange = 10_000

// Key is the secret of one incarnation. It is random and never leaves the process.
type Key [16]byte

// Issuer hands out the ids of one node incarnation and verifies those that come back. It is safe for concurrent use.
type Issuer struct {
	owner  mustardmast.NodeID
	start  time.Time
	window time.Duration
	mac    cipher.Block
	next   atomic.Uint64
}

// NewIssuer returns the issuer of owner. Times passed to its methods are compared with start by their monotonic readings,
// so a wall clock that is set does not move the window.
func NewIssuer(owner mustardmast.NodeID, key Key, start time.Time, window time.Duration) *Issuer {
	mac, err := aes.NewCipher(key[:])
	if err != nil {
		panic(err) // the key size is fixed by its type
	}
	return &Issuer{owner: owner, start: start, window: window, mac: mac}
}

// Owner returns the incarnation whose ids these are.
func (s *Issuer) Owner() mustardmast.NodeID { return s.owner }

// Window returns how long an id may start its request, counted from its issue.
func (s *Issuer) Window() time.Duration { return s.window }

// Issue returns n new ids, at most MaxRange.
func (s *Issuer) Issue(now time.Time, n int) []ID {
	n = max(min(n, MaxRange), 0)
	last := s.next.Add(uint64(n))
	ms := s.clock(now)
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = ID{owner: s.owner, ms: ms, seq: last - uint64(n-i)}
		ids[i].check = s.sum(ids[i])
	}
	return ids
}

// Verify returns an error unless this issuer handed id out and the window is still open. The end of the window is
// not-started rather than not-executed: an earlier attempt may have run.
func (s *Issuer) Verify(now time.Time, id ID) error {
	if id.owner != s.owner {
		return fault.Newf(fault.RequestIDNotIssued, "request id belongs to node %016x, not %016x", uint64(id.owner), uint64(s.owner))
	}
	if id.check != s.sum(id) || id.seq >= s.next.Load() {
		return fault.Newf(fault.RequestIDNotIssued, "request id %q was not issued by this node", id.String())
	}
	if s.Expired(now, id) {
		return fault.Newf(fault.RequestIDExpired, "request id was issued %v ago; its window is %v",
			(now.Sub(s.start) - id.IssuedAt()).Truncate(time.Millisecond), s.window)
	}
	return nil
}

// Expired reports whether the window of an id of this issuer has ended.
func (s *Issuer) Expired(now time.Time, id ID) bool {
	return now.Sub(s.start)-id.IssuedAt() >= s.window
}

// Expiry returns when the window of an id of this issuer ends.
func (s *Issuer) Expiry(id ID) time.Time {
	return s.start.Add(id.IssuedAt() + s.window)
}

func (s *Issuer) clock(now time.Time) uint64 {
	return uint64(min(max(now.Sub(s.start).Milliseconds(), 0), maxIssueMS))
}

// sum is AES of one block, cut to 40 bits. A cipher of a single block with a secret key is a sound checksum for input
// of fixed length, and it costs less than a keyed hash. The owner need not be part of it, as keys differ per owner.
func (s *Issuer) sum(id ID) uint64 {
	var b [aes.BlockSize]byte
	binary.BigEndian.PutUint64(b[0:], id.ms)
	binary.BigEndian.PutUint64(b[8:], id.seq)
	s.mac.Encrypt(b[:], b[:])
	return binary.BigEndian.Uint64(b[:]) & checkMask
}
