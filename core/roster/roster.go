// Package roster holds the hosts that a node knows, and chooses the one that a request goes to.
//
// Records come from the platform's store, from other nodes and from the hosts themselves. What a host's load is comes
// with each reply; between two replies a node adds what it has sent itself. A choice is made with news that is
// milliseconds old, so the node beside the target has the last word, and a request that it turns away is placed again.
package roster

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"mustardmast"
)

const (
	// crossDomain is the price of another failure domain against the own one, as a part of the expected duration:
	// two transits of about a millisecond each, and traffic between domains is billed.
	crossDomain = 0.25
	// crossBulky is the same for a request with a large body.
	crossBulky = 0.6
	// spread is the random part of a price, so that nodes with the same news do not choose the same target.
	spread = 0.15
	// explore is the share of choices at random, so that a target that looked slow is seen again.
	explore = 0.04
	// easy is the occupancy up to which a target is as fast as an idle one.
	easy = 0.6
	// crowding is the price of a full target against an idle one, in durations.
	crowding = 2.0
	// silence is how long a host may leave requests without any reply before it is avoided.
	silence = 300 * time.Millisecond
	// silentDurations is the same in durations of a request.
	silentDurations = 4
	// avoided multiplies the price of a host that is silent or has left the last connections unanswered.
	avoided = 12
	// failureWeight is the weight of one outcome in the share of requests that fail at a host.
	failureWeight = 0.06
	// unwell is the share of failures above which the duration of a host's requests says nothing.
	unwell = 0.15
	// mostFailing bounds the share of failures that a price takes in.
	mostFailing = 0.9
	// firstPause and longestPause bound the time between two attempts to reach a host that is down.
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
)

// Record is what is known of a host.
type Record struct {
	Host, Address, FailureDomain, Service string
	Started                               int64 // Unix milliseconds of the node's start
	Sequence                              uint64
	Ready                                 bool // its target takes requests; true until it is known not to
}

// newer reports whether r replaces o.
func (r Record) newer(o Record) bool {
	if r.Started != o.Started {
		return r.Started > o.Started
	}
	return r.Sequence > o.Sequence
}

type member struct {
	record      Record
	report      mustardmast.TargetReport
	reported    bool
	reportedAt  time.Time
	outstanding int
	oldest      time.Time // since when replies are due; zero while none is outstanding
	failing     float64
	down        bool
	pause       time.Duration
	retryAt     time.Time
}

// Roster is the hosts that one node knows. Its methods may be called concurrently.
type Roster struct {
	self Record

	mu      sync.Mutex
	members map[string]*member
	ordered []*member        // the same by name
	gone    map[string]int64 // start of hosts that have left, by name
	rand    *rand.Rand
	fit     []*member // space for Choose, which runs for each call
}

// New returns a roster that knows only its own host.
func New(self Record, seed uint64) *Roster {
	r := &Roster{self: self, members: map[string]*member{}, gone: map[string]int64{}, rand: rand.New(rand.NewPCG(seed, seed))}
	r.insert(self)
	return r
}

func (r *Roster) insert(n Record) {
	m := &member{record: n}
	r.members[n.Host] = m
	at, _ := slices.BinarySearchFunc(r.ordered, n.Host, byHost)
	r.ordered = slices.Insert(r.ordered, at, m)
}

func (r *Roster) delete(host string) {
	delete(r.members, host)
	if at, ok := slices.BinarySearchFunc(r.ordered, host, byHost); ok {
		r.ordered = slices.Delete(r.ordered, at, at+1)
	}
}

func byHost(m *member, host string) int { return strings.Compare(m.record.Host, host) }

// Self returns the record of the own host.
func (r *Roster) Self() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[r.self.Host].record
}

// UpdateSelf changes the own record and returns it. It returns false if nothing changed.
func (r *Roster) UpdateSelf(service string, ready bool) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[r.self.Host]
	if m.record.Service == service && m.record.Ready == ready {
		return m.record, false
	}
	m.record.Service, m.record.Ready = service, ready
	m.record.Sequence++
	return m.record, true
}

// Merge takes a record. Direct is true if it comes from the host itself, whose word counts even if its clock has gone
// back since it started before. It returns whether the host is new or has changed.
func (r *Roster) Merge(n Record, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Host == r.self.Host {
		return false
	}
	if started, left := r.gone[n.Host]; left && !direct && n.Started <= started {
		return false
	}
	m := r.members[n.Host]
	if m == nil {
		r.insert(n)
		delete(r.gone, n.Host)
		return true
	}
	if !direct && !n.newer(m.record) {
		return false
	}
	if n.Started == m.record.Started && n.Sequence < m.record.Sequence {
		return false // it was overtaken on the way
	}
	if m.record == n {
		return false
	}
	if n.Address != m.record.Address || n.Service != m.record.Service || n.Started != m.record.Started {
		*m = member{outstanding: m.outstanding, oldest: m.oldest}
	}
	m.record = n
	return true
}

// Remove forgets a host that has left for good.
func (r *Roster) Remove(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil && host != r.self.Host {
		r.gone[host] = m.record.Started
		r.delete(host)
	}
}

// Records returns all hosts, the own one included, by name.
func (r *Roster) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.members))
	for _, m := range r.ordered {
		out = append(out, m.record)
	}
	return out
}

// Size returns the number of hosts, the own one included.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// RecordSent counts a request that goes to a host.
func (r *Roster) RecordSent(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil {
		if m.outstanding == 0 {
			m.oldest = now
		}
		m.outstanding++
	}
}

// RecordEnded counts a request that has ended, however it did.
func (r *Roster) RecordEnded(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil && m.outstanding > 0 {
		m.outstanding--
	}
}

// RecordReply takes the report that came with a reply or a refusal. Ran is true if the target ran the request, and failed
// tells that it failed.
func (r *Roster) RecordReply(now time.Time, host string, report mustardmast.TargetReport, ran, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil {
		return
	}
	m.report, m.reported, m.reportedAt, m.oldest = report, true, now, now
	m.down, m.pause = false, 0
	m.record.Ready = report.Ready
	if report.Service != "" {
		m.record.Service = report.Service
	}
	if ran {
		x := 0.0
		if failed {
			x = 1
		}
		m.failing += failureWeight * (x - m.failing)
	}
}

// MarkDown takes the news that a host cannot be reached. It returns true if the host was believed to be up.
func (r *Roster) MarkDown(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil || host == r.self.Host {
		return false
	}
	was := m.down
	m.down = true
	m.pause = min(longestPause, max(firstPause, 2*m.pause))
	m.retryAt = now.Add(m.pause)
	return !was
}

// MarkUp takes the news that a host can be reached. It returns true if the host was believed to be down.
func (r *Roster) MarkUp(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil {
		return false
	}
	was := m.down
	m.down, m.pause = false, 0
	return was
}

// DueForRetry returns the hosts that are down and should be tried again now.
func (r *Roster) DueForRetry(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for _, m := range r.ordered {
		if m.down && !now.Before(m.retryAt) {
			out = append(out, m.record)
		}
	}
	return out
}

// LastReport returns the last report of a host and its age; false if there is none.
func (r *Roster) LastReport(now time.Time, host string) (report mustardmast.TargetReport, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil || !m.reported {
		return mustardmast.TargetReport{}, 0, false
	}
	return m.report, now.Sub(m.reportedAt), true
}

// RecordUnresponsive takes the news that a host leaves a request without an answer for much longer than usual.
func (r *Roster) RecordUnresponsive(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil {
		m.failing += failureWeight * (1 - m.failing)
	}
}
