package connlimit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/connlimit"
	"mustardmast/internal/soak"
)

func ExampleSet() {
	now := time.Unix(0, 0)
	s := connlimit.New(2)
	s.Add(now, 1)
	s.Serving(1)
	s.Waiting(now, 1)
	s.Add(now, 2)
	fmt.Println(s.Add(now, 3)) // 2 has not sent a request
	s.Serving(1)
	s.Serving(3)
	fmt.Println(s.Add(now, 4))
	s.Writing(now, 1)
	fmt.Println(s.Add(now.Add(connlimit.MinBlocked), 5))
	// Output:
	// 2 true
	// 0 false
	// 1 true
}

// model is what the test of a Set knows of a connection.
type model struct {
	class int // 0: no request yet, 1: has served one, 2: its response is being written, 3: serves one
	since int
}

// first returns the connection that has to end for another one; 0 if there is none.
func first(open map[uint64]model, now int) uint64 {
	var id uint64
	for other, o := range open {
		if o.class == 3 || o.class == 2 && time.Duration(now-o.since)*time.Second < connlimit.MinBlocked {
			continue
		}
		if x := open[id]; id == 0 || o.class < x.class || o.class == x.class && o.since < x.since {
			id = other
		}
	}
	return id
}

// Guards against more connections than allowed, against the end of one that serves a request, and against the end of one
// while another has waited longer.
func TestLongestWaitEnds(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		s, open := connlimit.New(limit), map[uint64]model{}
		for n := 1; n <= rapid.IntRange(1, 60).Draw(t, "steps"); n++ {
			now, id := time.Unix(int64(n), 0), uint64(rapid.IntRange(1, n).Draw(t, "id"))
			x, isOpen := open[id]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				var want uint64
				if len(open) >= limit {
					want = first(open, n)
				}
				victim, ok := s.Add(now, uint64(n))
				assert.Equal(t, victim, want)
				delete(open, victim)
				assert.Equal(t, ok, len(open) < limit)
				if ok {
					open[uint64(n)] = model{since: n}
				}
			case 2:
				assert.Equal(t, s.Serving(id), isOpen)
				if isOpen {
					open[id] = model{class: 3}
				}
			case 3:
				s.Waiting(now, id)
				if isOpen {
					open[id] = model{class: 1, since: n}
				}
			case 4:
				s.Writing(now, id)
				if isOpen && x.class == 3 {
					open[id] = model{class: 2, since: n}
				}
			case 5:
				s.Written(id)
				if isOpen && x.class == 2 {
					open[id] = model{class: 3}
				}
			default:
				s.Remove(id)
				delete(open, id)
			}
			assert.Equal(t, s.Size(), len(open))
		}
	})
}
