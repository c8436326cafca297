package peer

import (
	"net/http"
	"sync"
	"time"
)

// progressPeriod is the interval of the interim responses. It is well below the time after which a connection without
// traffic is suspected of being stalled.
const progressPeriod = 200 * time.Millisecond

// progress sends interim responses on a connection while a call is running. Without them the sender could not
// distinguish a slow call from a stalled connection.
type progress struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

// startProgress starts the interim responses of one request. There are none for uploads that wait for 100 Continue,
// because they could be written concurrently with that interim response of the server.
func startProgress(w http.ResponseWriter, q *http.Request) *progress {
	p := &progress{w: w}
	if q.Header.Get("Expect") != "" {
		p.stopped = true
		return p
	}
	p.timer = time.AfterFunc(progressPeriod, p.writeInterim)
	return p
}

func (p *progress) writeInterim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.w.WriteHeader(http.StatusProcessing)
	p.timer.Reset(progressPeriod)
}

// stop ends the interim responses. It must be called before the response is written.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
