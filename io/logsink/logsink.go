// Package logsink writes log lines without ever making the writer wait.
//
// Lines are collected in memory and written by a goroutine of their own. If the reader of the log is slow, lines beyond
// a bound are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	most       = 512 << 10              // bytes that wait to be written
	flushAfter = 250 * time.Millisecond // lines are written together, which costs fewer wake-ups
)

// Sink is a zapcore.WriteSyncer. Its methods may be called concurrently.
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

// Write takes a line. It never blocks on the writer.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > most {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	if !s.running {
		s.running = true
		time.AfterFunc(flushAfter, s.flush)
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
			s.dropped.Add(1) // nobody reads the log, so there is no place to report it but the metrics
		}
	}
}

// Sync waits until the lines taken so far are written.
func (s *Sink) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running {
		s.flushed.Wait()
	}
	return nil
}

// Dropped is the number of lines that were not written.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }
