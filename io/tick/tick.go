// Package tick is the timer service of the daemon: one goroutine that reads the clock and runs what is due.
//
// Parts of the system subscribe here and start no tickers of their own, so that a planned stop has one thing to end
// and the processor time of control is spent in one place.
package tick

import (
	"sync"
	"time"

	"mustardmast/core/timer"
)

// Service implements mustardmast.Timers with the machine's clock.
type Service struct {
	queue timer.Queue
	wake  chan struct{}
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// New returns a running service.
func New() *Service {
	s := &Service{wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Now returns the machine's time, with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Every calls f once a period until cancel is called.
func (s *Service) Every(period time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(period, period, f)
}

// After calls f once, d from now, unless cancel is called first.
func (s *Service) After(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, 0, f)
}

// Close stops the service and waits for the subscriber that runs, if any.
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
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		s.queue.Advance(time.Now())
		wait := time.Hour
		if next, ok := s.queue.Next(); ok {
			wait = max(time.Until(next), 0)
		}
		t.Reset(wait)
		select {
		case <-t.C:
		case <-s.wake:
		case <-s.stop:
			return
		}
	}
}
