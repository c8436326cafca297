package peer

import (
	"net/http"
	"sync"
	"time"
)

// progressPeriod is how often a call that runs shows its sender that the connection works. It is well below the time
// after which a silent connection is suspected.
const progressPeriod = 200 * time.Millisecond

// progress sends interim responses on a connection while its call runs. Without them a slow call and a connection that
// has lost its path look the same to the sender.
type progress struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	timer *time.Timer
	ended bool
}

// startProgress begins for one request. Uploads that wait for 100 Continue are left out, because the server's own
// interim response would be written at the same time.
func startProgress(w http.ResponseWriter, q *http.Request) *progress {
	p := &progress{w: w}
	if q.Header.Get("Expect") != "" {
		p.ended = true
		return p
	}
	p.timer = time.AfterFunc(progressPeriod, p.show)
	return p
}

func (p *progress) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.w.WriteHeader(http.StatusProcessing)
	p.timer.Reset(progressPeriod)
}

// stop must be called before the response is written. No interim response follows it.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
