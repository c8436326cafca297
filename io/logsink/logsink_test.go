package logsink_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/logsink"
)

// stuck is a writer that nobody reads from until it is opened.
type stuck struct {
	open chan struct{}
	b    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	return s.b.Write(p)
}

// Guards against requests that wait for whoever reads the log, and against memory that grows meanwhile.
func TestAWriterThatDoesNotWait(t *testing.T) {
	w := &stuck{open: make(chan struct{})}
	s := logsink.New(w)
	line := bytes.Repeat([]byte("x"), 1<<10)
	began := time.Now()
	for range 10_000 {
		n, err := s.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, s.Dropped() > 8000, "%d", s.Dropped())
	close(w.open)
	assert.NilError(t, s.Sync())
	assert.Equal(t, w.b.Len(), (10_000-int(s.Dropped()))<<10)
}
