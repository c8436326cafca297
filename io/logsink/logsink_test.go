package logsink_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/logsink"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	b    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	return s.b.Write(p)
}

// Guards against writers that block, and memory that grows without limit, while the log is not read.
func TestWriteDoesNotBlock(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	s := logsink.New(w)
	line := bytes.Repeat([]byte("x"), 1<<10)
	start := time.Now()
	for range 10_000 {
		n, err := s.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, s.Dropped() > 8000, "%d", s.Dropped())
	close(w.open)
	assert.NilError(t, s.Sync())
	assert.Equal(t, w.b.Len(), (10_000-int(s.Dropped()))<<10)
}
