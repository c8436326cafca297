// Package quota bounds the memory that requests use together.
package quota

import "sync/atomic"

// Quota is a number of bytes that its users share. Its methods may be called concurrently.
type Quota struct {
	limit int64
	used  atomic.Int64
}

// New returns a quota of limit bytes, none of which is used.
func New(limit int64) *Quota { return &Quota{limit: limit} }

// Acquire takes n bytes. It returns false and takes none if fewer are left.
func (q *Quota) Acquire(n int64) bool {
	if q.used.Add(n) <= q.limit {
		return true
	}
	q.used.Add(-n)
	return false
}

// Release returns n bytes that Acquire has taken.
func (q *Quota) Release(n int64) { q.used.Add(-n) }

// Used returns the number of bytes in use.
func (q *Quota) Used() int64 { return q.used.Load() }
