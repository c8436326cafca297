// Package requestid issues and reads the ids of requests.
//
// An issued id names the one node incarnation, its owner, that may start the request. It holds the owner, the time of
// issue by the owner's monotonic clock, a sequence number and a keyed checksum. No other node can take the owner's
// place, so nothing has to be agreed on: a node reads the owner from the id and forwards the request to it.
//
// An Issuer needs no state except a counter. It hands out ids in ranges; the caller keeps an id over all resends of
// one request. The owner verifies an id that comes back: the checksum, that its sequence number was handed out, and
// that it is within its window. A new incarnation has another NodeID and another key, so it never takes an id of its
// predecessor for its own.
//
// The text form has 36 characters: a prefix with the version and 24 bytes in base64url. The prefix has a colon, so
// that an opaque id of a caller, such as a UUID without dashes, is not taken for an issued one. A sub-call's id is the
// root's id and the call keys, separated by slashes; it has the root's owner.
package requestid

import (
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

const (
	prefix     = "mm1:"
	rawSize    = 24 // owner 8, issue time 5, sequence number 6, checksum 5; a multiple of 3 has no padding bits
	textSize   = len(prefix) + rawSize/3*4
	maxIssueMS = 1<<40 - 1 // 34 years since process start
	maxSeq     = 1<<48 - 1 // 230,000 ids a second for 38 years
	checkMask  = 1<<40 - 1
)

// ID is a parsed id. The zero value belongs to no owner.
type ID struct {
	owner mustardmast.NodeID
	ms    uint64
	seq   uint64
	check uint64
	keys  string // call keys after the root, without the first slash
}

// Parse reads the id of a request or sub-call. It needs no key, so every node can find the owner; only the owner can
// tell whether it issued the id. It reports false for the opaque ids that callers choose themselves.
func Parse(s string) (ID, bool) {
	if len(s) < textSize || len(s) > call.MaxIDLength || s[:len(prefix)] != prefix {
		return ID{}, false
	}
	var raw [rawSize]byte
	for i := len(prefix); i < textSize; i++ {
		if s[i] == '\n' || s[i] == '\r' { // base64 skips line breaks, which would give one id several texts
			return ID{}, false
		}
	}
	if _, err := base64.RawURLEncoding.Decode(raw[:], []byte(s[len(prefix):textSize])); err != nil {
		return ID{}, false
	}
	id := ID{
		owner: mustardmast.NodeID(binary.BigEndian.Uint64(raw[0:])),
		ms:    uint40(raw[8:]),
		seq:   uint64(binary.BigEndian.Uint16(raw[13:]))<<32 | uint64(binary.BigEndian.Uint32(raw[15:])),
		check: uint40(raw[19:]),
	}
	if len(s) == textSize {
		return id, true
	}
	if s[textSize] != '/' || !goodKeys(s[textSize+1:]) {
		return ID{}, false
	}
	id.keys = s[textSize+1:]
	return id, true
}

// Owner returns the node incarnation that alone may start the request.
func (id ID) Owner() mustardmast.NodeID { return id.owner }

// IssuedAt returns the time of issue, as time since the owner's process start.
func (id ID) IssuedAt() time.Duration { return time.Duration(id.ms) * time.Millisecond }

// Sequence returns the sequence number. It is unique among the ids of one owner, sub-calls left out.
func (id ID) Sequence() uint64 { return id.seq }

// CallKeys returns the call keys below the root, separated by slashes, and an empty string for a root.
func (id ID) CallKeys() string { return id.keys }

// String returns the text form.
func (id ID) String() string {
	var raw [rawSize]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(id.owner))
	putUint40(raw[8:], id.ms)
	binary.BigEndian.PutUint16(raw[13:], uint16(id.seq>>32))
	binary.BigEndian.PutUint32(raw[15:], uint32(id.seq))
	putUint40(raw[19:], id.check)
	b := make([]byte, textSize, textSize+1+len(id.keys))
	copy(b, prefix)
	base64.RawURLEncoding.Encode(b[len(prefix):], raw[:])
	if id.keys != "" {
		b = append(append(b, '/'), id.keys...)
	}
	return string(b)
}

// SubCallID returns the id of the sub-call that a target names key. Any id can have sub-calls, also an opaque one.
func SubCallID(parent, key string) (string, error) {
	if !goodKeys(key) || strings.Contains(key, "/") {
		return "", fault.Newf(fault.BadRequest, "call key %q; allowed: 1 to %d letters, digits, or any of - _ . : @",
			key[:min(len(key), call.MaxNameLength)], call.MaxNameLength)
	}
	if len(parent)+1+len(key) > call.MaxIDLength {
		return "", fault.Newf(fault.BadRequest, "request id with call key %q has %d characters; allowed: %d",
			key, len(parent)+1+len(key), call.MaxIDLength)
	}
	return parent + "/" + key, nil
}

// goodKeys reports whether s is a list of call keys. An empty key is refused because it would give the parent's id
// a second text.
func goodKeys(s string) bool {
	n := 0
	for i := 0; i < len(s); i++ {
		if s[i] == '/' {
			if n == 0 {
				return false
			}
			n = 0
			continue
		}
		if n++; n > call.MaxNameLength || !plain(s[i]) {
			return false
		}
	}
	return n > 0
}

func plain(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-_.:@", c) >= 0
}

func uint40(b []byte) uint64 {
	return uint64(b[0])<<32 | uint64(binary.BigEndian.Uint32(b[1:]))
}

func putUint40(b []byte, v uint64) {
	b[0] = byte(v >> 32)
	binary.BigEndian.PutUint32(b[1:], uint32(v))
}
