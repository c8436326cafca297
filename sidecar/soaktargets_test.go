package sidecar_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxBeforeResponse is the number of requests that a node which has just started may send to its target before the first
// response shows a limit or a shutdown.
const maxBeforeResponse = 8

// serveEcho responds after 5 to 25 ms with the number of bytes of the request, and a body that ends with its id. Some
// responses are long and sent in two parts, with a length or in chunks.
func (h *host) serveEcho(w http.ResponseWriter, q *http.Request) {
	received, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request broke off, so it does not run
	}
	time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	size := 2000
	if rand.IntN(longFraction) == 0 {
		size = 20_000 + rand.IntN(maxLongBody)
	}
	text := fmt.Sprintf("%d bytes %s for %s", received, strings.Repeat("x", size), q.Header.Get("Attempt-Id"))
	if rand.IntN(2) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	half := 0
	if size > 2000 {
		half = size / 2
		_, _ = io.WriteString(w, text[:half])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	_, _ = io.WriteString(w, text[half:])
}

// upload returns a request body, of known or unknown length, and its size.
func upload(random *rand.Rand) (size int, body io.Reader) {
	size = random.IntN(40_000)
	if random.IntN(longFraction) == 0 {
		size += random.IntN(maxLongBody)
	}
	body = strings.NewReader(strings.Repeat("b", size))
	if random.IntN(2) == 0 {
		body = io.MultiReader(body) // hides the length from net/http
	}
	return size, body
}

// pacedTarget records the requests that reach a target while it names a limit on their rate.
type pacedTarget struct {
	limit float64 // requests per second

	mu       sync.Mutex
	arrivals []time.Time
}

func (p *pacedTarget) serve(h *host, w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	w.Header().Set("Server-Limit", strconv.FormatFloat(p.limit, 'f', 1, 64))
	h.serveEcho(w, q)
}

// check checks that from the learning time on no window has more requests than the limit allows, and than a node that is
// started beside the target sends before the first response.
func (p *pacedTarget) check(t *testing.T, restarts int) {
	const learning, window = 500 * time.Millisecond, time.Second
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for i, from := range p.arrivals {
		if from.Sub(p.arrivals[0]) >= learning {
			end, _ := slices.BinarySearchFunc(p.arrivals, from.Add(window), time.Time.Compare)
			most = max(most, end-i)
		}
	}
	allowed := 1.5*p.limit*window.Seconds() + 5 + float64(maxBeforeResponse*restarts)
	assert.Check(t, float64(most) <= allowed, "%d requests in %v at a limit of %v; %d restarts", most, window, p.limit, restarts)
}

// restartTarget ends the shutdown of a target, which starts again under the same ID.
func (r *soakRun) restartTarget(h *host) {
	h.target.mu.Lock()
	h.target.leaving.Store(false)
	h.target.startedMS.Store(time.Now().UnixMilli())
	ids := h.target.leavingRuns
	h.target.leavingRuns = nil
	h.target.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaves = append(r.leaves, ids)
}

// checkLeave checks that no request that a client sent after maxLeaveDelay reached a target, counted from the first response
// which stated that the target was shutting down. A node that is started beside the target may send some.
func (r *soakRun) checkLeave(t *testing.T, ids []string, restarts int) {
	const maxLeaveDelay = time.Second
	var told time.Time
	for _, s := range r.history {
		if s.status == http.StatusOK && slices.Contains(ids, s.id) && (told.IsZero() || s.endedAt.Before(told)) {
			told = s.endedAt
		}
	}
	late := 0
	for _, s := range r.history {
		if !told.IsZero() && s.at.Sub(told) > maxLeaveDelay && slices.Contains(ids, s.id) {
			late++
		}
	}
	assert.Check(t, late <= maxBeforeResponse*restarts, "%d requests reached a target that had stated its shutdown; %d restarts", late, restarts)
}
