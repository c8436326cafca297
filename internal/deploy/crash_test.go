package deploy_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/deploy"
)

const poison = "poison"

// supervisor restarts the target processes of one service as soon as they crash, and counts the crashes.
type supervisor struct {
	t       *testing.T
	d       *deploy.Deployment
	service string
	mu      sync.Mutex
	crashes int
	stop    chan struct{}
	wg      sync.WaitGroup
}

func supervise(t *testing.T, d *deploy.Deployment, service string) *supervisor {
	s := &supervisor{t: t, d: d, service: service, stop: make(chan struct{})}
	for _, h := range d.Hosts() {
		if h.Service == service {
			s.enableCrash(h)
			s.wg.Go(func() { s.watch(h) })
		}
	}
	t.Cleanup(func() {
		close(s.stop)
		s.wg.Wait()
	})
	return s
}

// enableCrash makes the target crash on requests whose body contains the poison.
func (s *supervisor) enableCrash(h *deploy.Host) {
	if err := deploy.Post("http://"+h.TargetAddress+"/stub/v1/faults", `{"crash-on":"`+poison+`"}`); err != nil {
		s.t.Error(err)
	}
}

func (s *supervisor) watch(h *deploy.Host) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if !h.TargetProcess.Exited() {
			continue
		}
		s.mu.Lock()
		s.crashes++
		err := s.d.StartTarget(h)
		s.mu.Unlock()
		if err != nil {
			s.t.Error(err)
			return
		}
		s.enableCrash(h)
	}
}

func (s *supervisor) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// sendPoison sends requests that crash their target, under new ids and through different nodes, beside normal load. It
// returns the responses to the crashing requests, to the normal ones, and to the normal ones of the second half.
// afterEach is called after each crashing request.
func sendPoison(d *deploy.Deployment, duration time.Duration, afterEach func()) (poisoned, normal deploy.Summary, late deploy.Summary) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	hosts := d.Hosts()
	began := time.Now()
	for c := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for time.Since(began) < duration {
				body := "container"
				if c == 0 {
					body = poison
				}
				s := deploy.Call(hosts[rng.IntN(len(hosts))].CallerAddress, "/socket-board/assign", body+" 7", nil)
				mu.Lock()
				switch {
				case c == 0:
					poisoned.Add(s)
				case time.Since(began) > duration/2:
					late.Add(s)
					fallthrough
				default:
					normal.Add(s)
				}
				mu.Unlock()
				if c == 0 {
					afterEach()
				}
				time.Sleep(time.Duration(20+rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return poisoned, normal, late
}

// Guards against a request that crashes one target after the other while its caller retries it, against other requests
// that are rejected together with it, and against a quarantine that operators cannot see or clear.
func TestCrashingRequest(t *testing.T) {
	d := startDeployment(t, nil)
	s := supervise(t, d, "socket-board")
	poisoned, normal, late := sendPoison(d, 10*time.Second, func() {})
	t.Logf("seed %d: %d crashes; crashing requests %s; normal requests %s; normal requests in the second half %s", uint64(seed), s.crashCount(), &poisoned, &normal, &late)
	assert.Assert(t, s.crashCount() >= 1 && s.crashCount() <= 4, "seed %d: %d targets crashed", uint64(seed), s.crashCount())
	assert.Equal(t, poisoned.OK, 0)
	assert.Assert(t, late.OK*100 >= late.Calls*95, "seed %d: normal requests served after the quarantine: %s", uint64(seed), &late)

	out, code := runCLI(append([]string{"quarantine"}, nodeOptions(d)...)...)
	assert.Equal(t, code, 0)
	t.Logf("%s", out)
	assert.Assert(t, strings.Contains(out, "quarantined after"), out)
	_, code = runCLI(append([]string{"quarantine", "--clear-all"}, nodeOptions(d)...)...)
	assert.Equal(t, code, 0)
	before := s.crashCount()
	assert.NilError(t, deploy.Await(3*time.Second, func() error {
		deploy.Call(d.Hosts()[0].CallerAddress, "/socket-board/assign", poison+" 7", nil)
		if s.crashCount() == before {
			return errors.New("still quarantined")
		}
		return nil
	}), "a request that was cleared from the quarantine is executed again")
}

// Guards against a check of the crash count that would also pass without a quarantine: here, the quarantine is cleared
// after each crashing request.
func TestCrashingRequestWithoutQuarantine(t *testing.T) {
	d := startDeployment(t, nil)
	s := supervise(t, d, "socket-board")
	_, _, _ = sendPoison(d, 1500*time.Millisecond, func() {
		runCLI(append([]string{"quarantine", "--clear-all"}, nodeOptions(d)...)...)
	})
	t.Logf("seed %d: %d crashes", uint64(seed), s.crashCount())
	assert.Assert(t, s.crashCount() > 4, "seed %d: only %d crashes without a quarantine", uint64(seed), s.crashCount())
}
