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

// DefaultWindow is the default validity window: the time after its issue during which an id may start its request.
const DefaultWindow = 120 * time.Second

// MaxRange is the maximum number of ids returned by one call of Issue.
const MaxRange = 10_000

// Key is the secret key of one node incarnation. It is random and never leaves the process.
type Key [16]byte

// Issuer issues the ids of one node incarnation and verifies them. It is safe for concurrent use.
type Issuer struct {
	owner  mustardmast.NodeID
	start  time.Time
	window time.Duration
	mac    cipher.Block
	next   atomic.Uint64
}

// NewIssuer returns the issuer of owner, whose process started at start. Times passed to its methods are compared with
// start by their monotonic clock readings, so changes of the wall clock do not move the validity window.
func NewIssuer(owner mustardmast.NodeID, key Key, start time.Time, window time.Duration) *Issuer {
	mac, err := aes.NewCipher(key[:])
	if err != nil {
		panic(err) // the key size is fixed by its type
	}
	return &Issuer{owner: owner, start: start, window: window, mac: mac}
}

// Owner returns the node incarnation whose ids are issued.
func (s *Issuer) Owner() mustardmast.NodeID { return s.owner }

// Window returns the validity window: the time after its issue during which an id may start its request.
func (s *Issuer) Window() time.Duration { return s.window }

// Issue returns n new ids, at most MaxRange.
func (s *Issuer) Issue(now time.Time, n int) []ID {
	n = max(min(n, MaxRange), 0)
	last := s.next.Add(uint64(n))
	issuedMS := s.issueTimeMS(now)
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = ID{owner: s.owner, issuedMS: issuedMS, seq: last - uint64(n-i)}
		ids[i].checksum = s.computeChecksum(ids[i])
	}
	return ids
}

// Verify returns an error unless id was issued by this issuer and its validity window is open. An expired id means that
// this attempt was not started, not that the request was not executed: an earlier attempt may have been.
func (s *Issuer) Verify(now time.Time, id ID) error {
	if id.owner != s.owner {
		return fault.Newf(fault.RequestIDNotIssued, "request id was issued by node %016x, not by this node %016x",
			uint64(id.owner), uint64(s.owner))
	}
	if id.checksum != s.computeChecksum(id) || id.seq >= s.next.Load() {
		return fault.Newf(fault.RequestIDNotIssued, "request id %q was not issued by this node", id.String())
	}
	if s.Expired(now, id) {
		return fault.Newf(fault.RequestIDExpired, "request id was issued %v ago; its validity window is %v",
			(now.Sub(s.start) - id.IssuedAt()).Truncate(time.Millisecond), s.window)
	}
	return nil
}

// Expired reports whether the validity window of an id of this issuer has ended. It does not verify the id.
func (s *Issuer) Expired(now time.Time, id ID) bool {
	return now.Sub(s.start)-id.IssuedAt() >= s.window
}

// Expiry returns the time at which the validity window of an id of this issuer ends.
func (s *Issuer) Expiry(id ID) time.Time {
	return s.start.Add(id.IssuedAt() + s.window)
}

func (s *Issuer) issueTimeMS(now time.Time) uint64 {
	return uint64(min(max(now.Sub(s.start).Milliseconds(), 0), maxIssueMS))
}

// computeChecksum encrypts one AES block and truncates it to 40 bits. A single block under a secret key is a sound MAC
// for input of fixed length and is cheaper than a keyed hash. The owner need not be included, as every owner has its
// own key.
func (s *Issuer) computeChecksum(id ID) uint64 {
	var b [aes.BlockSize]byte
	binary.BigEndian.PutUint64(b[0:], id.issuedMS)
	binary.BigEndian.PutUint64(b[8:], id.seq)
	s.mac.Encrypt(b[:], b[:])
	return binary.BigEndian.Uint64(b[:]) & checksumMask
}
