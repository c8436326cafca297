// Package logsink writes log lines asynchronously, so that logging never blocks.
//
// Lines are buffered in memory and written by a separate goroutine. If the underlying writer is slow, lines that exceed
// the buffer are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxPendingBytes = 512 << 10              // size of the buffer
	flushDelay      = 250 * time.Millisecond // lines are written in batches, which takes fewer wake-ups
)

// Sink is an asynchronous zapcore.WriteSyncer. Its methods may be called concurrently.
type Sink struct {
	w       io.Writer
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	running bool
	flushed sync.Cond
}

// New returns a sink that writes to w.
func New(w io.Writer) *Sink {
	s := &Sink{w: w}
	s.flushed.L = &s.mu
	return s
}

// Write buffers a line, or drops it if the buffer is full. It neither blocks on the underlying writer nor fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > maxPendingBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	if !s.running {
		s.running = true
		time.AfterFunc(flushDelay, s.flush)
	}
	return len(line), nil
}

func (s *Sink) flush() {
	for {
		s.mu.Lock()
		lines := s.pending
		s.pending = nil
		if len(lines) == 0 {
			s.running = false
			s.flushed.Broadcast()
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.w.Write(lines); err != nil {
			s.dropped.Add(1) // the log cannot be written, so the failure shows only in the metrics
		}
	}
}

// Sync waits until all buffered lines have been written. It never returns an error.
func (s *Sink) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running {
		s.flushed.Wait()
	}
	return nil
}

// Dropped returns the number of dropped lines. A failed write of a batch counts as one.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }
