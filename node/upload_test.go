package node_test

import (
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/target/stub"
)

// zeros is a body of a given size that needs no memory. Peak notes the largest heap seen while it is read.
type zeros struct {
	left int
	peak uint64
}

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	clear(p[:n])
	if z.left/(1<<20) != (z.left-n)/(1<<20) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		z.peak = max(z.peak, m.HeapAlloc)
	}
	z.left -= n
	return n, nil
}

// Guards against a large upload that a node holds in memory. Both nodes run in this process and the target discards
// the body, so the heap must not grow with it.
func TestLargeUploadStreams(t *testing.T) {
	const size = 50 << 20
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{DiscardBodies: true})
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	z := &zeros{left: size}
	q, err := http.NewRequest(http.MethodPost, first.url+"/reefer-watch/register", z)
	assert.NilError(t, err)
	q.ContentLength = size
	q.Header.Set("Mustardmast-Deadline-Ms", "20000")
	start := time.Now()
	res, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK, string(b))
	assert.Equal(t, len(last.target.Executions()), 1)
	assert.Assert(t, z.peak < before.HeapAlloc+16<<20, "heap grew from %d to %d", before.HeapAlloc, z.peak)
	t.Logf("50 MB through two nodes in %s", time.Since(start))
}
