// Package tick implements the timer service of a node: a single goroutine that reads the clock and calls the functions
// that are due.
//
// Other packages register here instead of starting tickers of their own, so that a planned stop has only one service to
// end and periodic work runs in one place.
package tick

import (
	"sync"
	"time"

	"mustardmast/core/timer"
)

// Service implements mustardmast.Timers with the system clock. Its methods may be called concurrently.
type Service struct {
	queue timer.Queue
	wake  chan struct{}
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// New starts a service and returns it. The caller must call Close to stop it.
func New() *Service {
	s := &Service{wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Now returns the system time, with its monotonic clock reading.
func (s *Service) Now() time.Time { return time.Now() }

// Every calls f once per period until cancel is called. F runs on the service's goroutine and must return quickly.
func (s *Service) Every(period time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(period, period, f)
}

// After calls f once, d from now, unless cancel is called first. F runs on the service's goroutine and must return
// quickly.
func (s *Service) After(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, 0, f)
}

// Close stops the service and waits for the function that is running, if any, so a function must not call it. Functions
// that are registered later never run. Further calls of Close have no effect.
func (s *Service) Close() {
	s.once.Do(func() { close(s.stop) })
	<-s.done
}

func (s *Service) add(d, period time.Duration, f func(now time.Time)) func() {
	cancel := s.queue.Add(time.Now().Add(d), period, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return cancel
}

func (s *Service) run() {
	defer close(s.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.queue.Advance(time.Now())
		wait := time.Hour
		if next, ok := s.queue.Next(); ok {
			wait = max(time.Until(next), 0)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.stop:
			return
		}
	}
}
