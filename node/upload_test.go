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

// zeros is a request body of zeros that is generated while it is read. It records the largest heap seen meanwhile.
type zeros struct {
	remaining int
	maxHeap   uint64
}

func (z *zeros) Read(p []byte) (int, error) {
	if z.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.remaining)
	clear(p[:n])
	if z.remaining/(1<<20) != (z.remaining-n)/(1<<20) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		z.maxHeap = max(z.maxHeap, m.HeapAlloc)
	}
	z.remaining -= n
	return n, nil
}

// Guards against a node that buffers a large upload in memory. Both nodes run in this process and the target discards
// the body, so the heap must not grow with the body.
func TestLargeUploadStreams(t *testing.T) {
	const size = 50 << 20
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{DiscardBodies: true})
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	z := &zeros{remaining: size}
	req, err := http.NewRequest(http.MethodPost, first.url+"/reefer-watch/register", z)
	assert.NilError(t, err)
	req.ContentLength = size
	req.Header.Set("Mustardmast-Deadline-Ms", "20000")
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK, string(b))
	assert.Equal(t, len(last.target.Executions()), 1)
	assert.Assert(t, z.maxHeap < before.HeapAlloc+16<<20, "heap grew from %d to %d", before.HeapAlloc, z.maxHeap)
	t.Logf("50 MB through two nodes in %s", time.Since(start))
}
