// Package requestid issues and parses request ids.
//
// An issued id names its owner, the one node incarnation that may start the request. It contains the owner, the time of
// issue by the owner's monotonic clock, a sequence number and a keyed checksum. No other node can take over from the
// owner, so ownership needs no agreement: any node reads the owner from the id and forwards the request to it.
//
// An Issuer has no state except a counter. It issues ids in batches; the caller uses the same id for all resends of a
// request. When the owner receives an id, it verifies the checksum, that the sequence number was issued, and that the
// validity window is still open. A new incarnation has another NodeID and another key, so it never accepts an id of its
// predecessor.
//
// The text form has 36 characters: a prefix with the version, and 24 bytes in base64url. The prefix contains a colon,
// so that an opaque id chosen by a caller, such as a UUID without dashes, is not mistaken for an issued one. The id of
// a sub-call is the id of the root followed by the call keys, separated by slashes; its owner is that of the root.
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
	prefix       = "mm1:"
	rawSize      = 24 // owner 8, issue time 5, sequence number 6, checksum 5; a multiple of 3 has no padding bits
	textSize     = len(prefix) + rawSize/3*4
	maxIssueMS   = 1<<40 - 1 // 34 years since process start
	maxSeq       = 1<<48 - 1 // 230,000 ids per second for 38 years
	checksumMask = 1<<40 - 1
)

// ID is a parsed request id. The zero value has no owner.
type ID struct {
	owner    mustardmast.NodeID
	issuedMS uint64 // time of issue in ms since the owner's process start
	seq      uint64
	checksum uint64
	callKeys string // call keys after the root id, without the leading slash
}

// Parse parses the id of a request or sub-call. It needs no key, so every node can determine the owner; only the owner
// can verify that it issued the id. Parse returns false for opaque ids chosen by callers.
func Parse(s string) (ID, bool) {
	if len(s) < textSize || len(s) > call.MaxIDLength || s[:len(prefix)] != prefix {
		return ID{}, false
	}
	var raw [rawSize]byte
	for i := len(prefix); i < textSize; i++ {
		if s[i] == '\n' || s[i] == '\r' { // base64 ignores line breaks, which would give one id several text forms
			return ID{}, false
		}
	}
	if _, err := base64.RawURLEncoding.Decode(raw[:], []byte(s[len(prefix):textSize])); err != nil {
		return ID{}, false
	}
	id := ID{
		owner:    mustardmast.NodeID(binary.BigEndian.Uint64(raw[0:])),
		issuedMS: uint40(raw[8:]),
		seq:      uint64(binary.BigEndian.Uint16(raw[13:]))<<32 | uint64(binary.BigEndian.Uint32(raw[15:])),
		checksum: uint40(raw[19:]),
	}
	if len(s) == textSize {
		return id, true
	}
	if s[textSize] != '/' || !validCallKeys(s[textSize+1:]) {
		return ID{}, false
	}
	id.callKeys = s[textSize+1:]
	return id, true
}

// Owner returns the only node incarnation that may start the request.
func (id ID) Owner() mustardmast.NodeID { return id.owner }

// IssuedAt returns the time of issue, measured from the start of the owner's process.
func (id ID) IssuedAt() time.Duration { return time.Duration(id.issuedMS) * time.Millisecond }

// Sequence returns the sequence number. It is unique among the root ids of one owner; sub-calls share that of their
// root.
func (id ID) Sequence() uint64 { return id.seq }

// CallKeys returns the call keys below the root, separated by slashes, or an empty string for a root.
func (id ID) CallKeys() string { return id.callKeys }

// String returns the text form.
func (id ID) String() string {
	var raw [rawSize]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(id.owner))
	putUint40(raw[8:], id.issuedMS)
	binary.BigEndian.PutUint16(raw[13:], uint16(id.seq>>32))
	binary.BigEndian.PutUint32(raw[15:], uint32(id.seq))
	putUint40(raw[19:], id.checksum)
	b := make([]byte, textSize, textSize+1+len(id.callKeys))
	copy(b, prefix)
	base64.RawURLEncoding.Encode(b[len(prefix):], raw[:])
	if id.callKeys != "" {
		b = append(append(b, '/'), id.callKeys...)
	}
	return string(b)
}

// SubCallID returns the id of the sub-call with the given call key. Opaque ids can have sub-calls too.
func SubCallID(parent, key string) (string, error) {
	if !validCallKeys(key) || strings.Contains(key, "/") {
		return "", fault.Newf(fault.BadRequest, "call key %q; allowed: 1 to %d letters, digits, or any of - _ . : @",
			key[:min(len(key), call.MaxNameLength)], call.MaxNameLength)
	}
	if len(parent)+1+len(key) > call.MaxIDLength {
		return "", fault.Newf(fault.BadRequest, "request id with call key %q has %d characters; allowed: %d",
			key, len(parent)+1+len(key), call.MaxIDLength)
	}
	return parent + "/" + key, nil
}

// validCallKeys reports whether s is a list of call keys. Empty keys are not allowed, as they would give one id several
// text forms.
func validCallKeys(s string) bool {
	n := 0
	for i := 0; i < len(s); i++ {
		if s[i] == '/' {
			if n == 0 {
				return false
			}
			n = 0
			continue
		}
		if n++; n > call.MaxNameLength || !validKeyChar(s[i]) {
			return false
		}
	}
	return n > 0
}

func validKeyChar(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-_.:@", c) >= 0
}

func uint40(b []byte) uint64 {
	return uint64(b[0])<<32 | uint64(binary.BigEndian.Uint32(b[1:]))
}

func putUint40(b []byte, v uint64) {
	b[0] = byte(v >> 32)
	binary.BigEndian.PutUint32(b[1:], uint32(v))
}
