// Package roster holds the hosts that a node knows and chooses the host that a request is sent to.
//
// Records come from the platform's store, from other nodes and from the hosts themselves. Each reply carries a load
// report of its host; between two replies a node adds the requests that it has sent itself. Load reports are
// milliseconds old when a host is chosen, so the node beside the target makes the final decision, and a request that it
// rejects is placed again.
package roster

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

const (
	// crossDomainPenalty is the additional cost of a host in another failure domain, as a fraction of the expected
	// duration: two transits of about a millisecond each, and traffic between domains is billed.
	crossDomainPenalty = 0.25
	// crossDomainLargeBodyPenalty is the same for a request with a large body.
	crossDomainLargeBodyPenalty = 0.6
	// costJitter is the random part of a cost, so that nodes with the same load reports don't choose the same target.
	costJitter = 0.15
	// exploreFraction is the fraction of random choices, so that a target that looked slow is measured again.
	exploreFraction = 0.04
	// freeUtilization is the utilization up to which a target is as fast as an idle one.
	freeUtilization = 0.6
	// fullPenalty is the additional cost of a target that is fully utilized, in durations of a request.
	fullPenalty = 2.0
	// minSilence is the minimum time without any reply to pending requests after which a host is avoided.
	minSilence = 300 * time.Millisecond
	// minSilentDurations is the same limit in durations of a request. The longer one applies.
	minSilentDurations = 4
	// silentPenaltyFactor multiplies the cost of a host that is silent.
	silentPenaltyFactor = 12
	// failureWeight is the weight of one outcome in the moving average of a host's failure ratio.
	failureWeight = 0.06
	// unhealthyFailureRatio is the failure ratio from which the reported duration of a host is not trusted, because
	// requests may fail fast.
	unhealthyFailureRatio = 0.15
	// maxFailureRatio bounds the failure ratio in a cost.
	maxFailureRatio = 0.9
	// minRetryPause and maxRetryPause bound the time between two attempts to reach a host that is down.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Record describes a host.
type Record struct {
	Host, Address, FailureDomain, Service string
	Started                               int64 // Unix milliseconds of the node's start
	Sequence                              uint64
	Ready                                 bool // its target accepts requests; true unless known otherwise
}

// NodeID identifies the node process that has sent the record.
func (r Record) NodeID() mustardmast.NodeID {
	return mustardmast.NodeID(xxhash.Sum64String(r.Host + "/" + strconv.FormatInt(r.Started, 10)))
}

// newer reports whether r supersedes o.
func (r Record) newer(o Record) bool {
	if r.Started != o.Started {
		return r.Started > o.Started
	}
	return r.Sequence > o.Sequence
}

type member struct {
	record       Record
	report       mustardmast.TargetReport
	reported     bool
	reportedAt   time.Time
	outstanding  int
	waitingSince time.Time // last reply, or first request sent while none was outstanding
	failureRatio float64   // moving average
	down         bool
	retryPause   time.Duration
	retryAt      time.Time
}

// Roster is the set of hosts that one node knows. Its methods may be called concurrently.
type Roster struct {
	self Record

	mu           sync.Mutex
	members      map[string]*member
	sorted       []*member        // the members by host name
	removals     map[string]int64 // start of removed hosts by host name
	rand         *rand.Rand
	candidateBuf []*member // reused by Choose, which runs for each call
}

// New returns a roster that contains only the node's own host.
func New(self Record, seed uint64) *Roster {
	r := &Roster{self: self, members: map[string]*member{}, removals: map[string]int64{}, rand: rand.New(rand.NewPCG(seed, seed))}
	r.insert(self)
	return r
}

func (r *Roster) insert(added Record) {
	m := &member{record: added}
	r.members[added.Host] = m
	at, _ := slices.BinarySearchFunc(r.sorted, added.Host, byHost)
	r.sorted = slices.Insert(r.sorted, at, m)
}

func (r *Roster) delete(host string) {
	delete(r.members, host)
	if at, ok := slices.BinarySearchFunc(r.sorted, host, byHost); ok {
		r.sorted = slices.Delete(r.sorted, at, at+1)
	}
}

func byHost(m *member, host string) int { return strings.Compare(m.record.Host, host) }

// Self returns the record of this node's host.
func (r *Roster) Self() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[r.self.Host].record
}

// UpdateSelf updates the record of this node's host and returns it. It returns false if nothing changed.
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

// Merge adds or updates the record of another host. With direct, the update comes from that host itself and is accepted
// even if its clock has gone back since an earlier start. Merge reports whether the host is new or has changed.
func (r *Roster) Merge(update Record, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Host == r.self.Host {
		return false
	}
	if started, removed := r.removals[update.Host]; removed && (update.Started == started || !direct && update.Started < started) {
		return false // a late message, also if the host itself sent it
	}
	m := r.members[update.Host]
	if m == nil {
		r.insert(update)
		delete(r.removals, update.Host)
		return true
	}
	if !direct && !update.newer(m.record) {
		return false
	}
	if update.Started == m.record.Started && update.Sequence < m.record.Sequence {
		return false // a later update arrived first
	}
	if m.record == update {
		return false
	}
	if update.Address != m.record.Address || update.Service != m.record.Service || update.Started != m.record.Started {
		*m = member{outstanding: m.outstanding, waitingSince: m.waitingSince}
	}
	m.record = update
	return true
}

// Removal tells that a host has left for good.
type Removal struct {
	Host    string
	Started int64 // start of the node that has left, in Unix milliseconds
}

// maxRemovals bounds the removals that are remembered; at the bound, the one of the earliest start is dropped.
const maxRemovals = 1024

// Remove deletes a host that has left for good, unless it has started again since. Later records of the same or an
// earlier start are ignored. It returns false if the host is not known with that start or an earlier one.
func (r *Roster) Remove(x Removal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[x.Host]
	if x.Host == r.self.Host || m != nil && m.record.Started > x.Started {
		return false
	}
	if started, ok := r.removals[x.Host]; !ok || started < x.Started {
		r.remember(x)
	}
	if m != nil {
		r.delete(x.Host)
	}
	return m != nil
}

func (r *Roster) remember(x Removal) {
	if len(r.removals) >= maxRemovals {
		earliest := x
		for host, started := range r.removals {
			if started < earliest.Started {
				earliest = Removal{host, started}
			}
		}
		delete(r.removals, earliest.Host)
	}
	r.removals[x.Host] = x.Started
}

// Removals returns the hosts that have left for good, by host name.
func (r *Roster) Removals() []Removal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Removal
	for host, started := range r.removals {
		out = append(out, Removal{host, started})
	}
	slices.SortFunc(out, func(a, b Removal) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Records returns all hosts, including this node's, by host name.
func (r *Roster) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.members))
	for _, m := range r.sorted {
		out = append(out, m.record)
	}
	return out
}

// Serving returns the hosts whose targets accept requests of a service, as far as they can be reached.
func (r *Roster) Serving(service string) []mustardmast.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []mustardmast.Member
	for _, m := range r.sorted {
		if m.record.Service == service && m.record.Ready && !m.down {
			out = append(out, mustardmast.Member{ID: m.record.NodeID(), Name: m.record.Host, Service: service, State: mustardmast.Ready})
		}
	}
	return out
}

// Reachable returns the other hosts of a service, except those that are down.
func (r *Roster) Reachable(service string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for _, m := range r.sorted {
		if m.record.Service == service && !m.down && m.record.Host != r.self.Host {
			out = append(out, m.record)
		}
	}
	return out
}

// Size returns the number of hosts, including this node's.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// RecordSent counts a request that is sent to a host as outstanding.
func (r *Roster) RecordSent(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil {
		if m.outstanding == 0 {
			m.waitingSince = now
		}
		m.outstanding++
	}
}

// RecordEnded removes a request that has ended, with any outcome, from those outstanding.
func (r *Roster) RecordEnded(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil && m.outstanding > 0 {
		m.outstanding--
	}
}

// RecordReply records the load report that came with a reply or a rejection. Ran reports whether the target executed
// the request, and failed whether the execution failed.
func (r *Roster) RecordReply(now time.Time, host string, report mustardmast.TargetReport, ran, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil {
		return
	}
	m.report, m.reported, m.reportedAt, m.waitingSince = report, true, now, now
	m.down, m.retryPause = false, 0
	m.record.Ready = report.Ready
	if report.Service != "" {
		m.record.Service = report.Service
	}
	if ran {
		outcome := 0.0
		if failed {
			outcome = 1
		}
		m.failureRatio += failureWeight * (outcome - m.failureRatio)
	}
}

// MarkDown records that a host is unreachable. It returns true if the host was up before.
func (r *Roster) MarkDown(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil || host == r.self.Host {
		return false
	}
	wasDown := m.down
	m.down = true
	m.retryPause = min(maxRetryPause, max(minRetryPause, 2*m.retryPause))
	m.retryAt = now.Add(m.retryPause)
	return !wasDown
}

// HostAt returns the host whose node has an address, or false if there is none.
func (r *Roster) HostAt(address string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sorted {
		if m.record.Address == address {
			return m.record.Host, true
		}
	}
	return "", false
}

// MarkUp records that a host is reachable. It returns true if the host was down before.
func (r *Roster) MarkUp(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil {
		return false
	}
	wasDown := m.down
	m.down, m.retryPause = false, 0
	return wasDown
}

// DueForRetry returns the hosts that are down and whose next connection attempt is due.
func (r *Roster) DueForRetry(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for _, m := range r.sorted {
		if m.down && !now.Before(m.retryAt) {
			out = append(out, m.record)
		}
	}
	return out
}

// LastReport returns the last load report of a host and its age, or false if there is none.
func (r *Roster) LastReport(now time.Time, host string) (report mustardmast.TargetReport, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil || !m.reported {
		return mustardmast.TargetReport{}, 0, false
	}
	return m.report, now.Sub(m.reportedAt), true
}

// RecordUnresponsive records that a request to a host has been without an answer for much longer than usual. It counts
// as a failure.
func (r *Roster) RecordUnresponsive(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[host]; m != nil {
		m.failureRatio += failureWeight * (1 - m.failureRatio)
	}
}
