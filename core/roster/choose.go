package roster

import "time"

// Criteria are the conditions that a chosen host must meet.
type Criteria struct {
	Service   string
	LargeBody bool
	Exclude   map[string]bool // hosts that rejected the request
	Only      map[string]bool // if not empty, the only hosts allowed
}

func (c Criteria) allows(host string) bool {
	return !c.Exclude[host] && (len(c.Only) == 0 || c.Only[host])
}

// Choose returns the host with the lowest cost for a request or, for exploreFraction of the requests, a random one that
// is neither silent nor full. If no host that meets the criteria is up and ready, it returns one that is down and due
// for a retry. It returns false if there is none.
func (r *Roster) Choose(now time.Time, c Criteria) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bestDuration := r.bestDuration(c.Service)
	candidates := r.candidateBuf[:0]
	for _, m := range r.sorted {
		if m.record.Service == c.Service && m.record.Ready && !m.down && c.allows(m.record.Host) {
			candidates = append(candidates, m)
		}
	}
	r.candidateBuf = candidates
	if len(candidates) == 0 {
		return r.lastResort(now, c)
	}
	if r.rand.Float64() < exploreFraction {
		m := candidates[r.rand.IntN(len(candidates))]
		if !m.silent(now, bestDuration) && m.utilization() < 1 {
			return m.record, true
		}
	}
	var best *member
	lowestCost := 0.0
	for _, m := range candidates {
		if candidateCost := r.cost(now, m, c, bestDuration); best == nil || candidateCost < lowestCost {
			best, lowestCost = m, candidateCost
		}
	}
	return best.record, true
}

// lastResort returns the host that is down and has been due for a retry for longest.
func (r *Roster) lastResort(now time.Time, c Criteria) (Record, bool) {
	var best *member
	for _, m := range r.sorted {
		if m.record.Service != c.Service || !m.down || !c.allows(m.record.Host) || now.Before(m.retryAt) {
			continue
		}
		if best == nil || m.retryAt.Before(best.retryAt) {
			best = m
		}
	}
	if best == nil {
		return Record{}, false
	}
	best.retryAt = now.Add(minRetryPause)
	return best.record, true
}

// bestDuration returns the shortest duration reported for a service by healthy hosts. It is the assumed duration of
// hosts that have not reported yet, and the minimum for hosts whose requests fail, because they may fail fast.
func (r *Roster) bestDuration(service string) time.Duration {
	shortest := time.Duration(0)
	for _, m := range r.sorted {
		if m.record.Service == service && m.reported && m.failureRatio < unhealthyFailureRatio && (shortest == 0 || m.report.Duration < shortest) {
			shortest = m.report.Duration
		}
	}
	return shortest
}

// utilization returns the requests at the target, running or waiting, as a fraction of its limit. It counts those of
// the last report, or those outstanding at this node if they are more.
func (m *member) utilization() float64 {
	if !m.reported || m.report.Limit == 0 {
		return 0
	}
	return float64(max(m.outstanding, m.report.Running+m.report.Waiting)) / float64(m.report.Limit)
}

// silenceLimit returns the time without any reply to outstanding requests after which m is silent.
func (m *member) silenceLimit(bestDuration time.Duration) time.Duration {
	duration := bestDuration
	if m.reported {
		duration = m.report.Duration
		if m.report.Limit > 0 { // those that wait there
			duration += duration * time.Duration(m.report.Waiting) / time.Duration(m.report.Limit)
		}
	}
	return max(minSilence, minSilentDurations*duration)
}

// silent reports whether m has left its outstanding requests without a reply for much longer than their duration.
func (m *member) silent(now time.Time, bestDuration time.Duration) bool {
	return m.outstanding > 0 && !m.waitingSince.IsZero() && now.Sub(m.waitingSince) >= m.silenceLimit(bestDuration)
}

// SilenceLimit returns the time without any reply to outstanding requests after which a host is silent; 0 if the host is
// not known.
func (r *Roster) SilenceLimit(host string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	if m == nil {
		return 0
	}
	return m.silenceLimit(r.bestDuration(m.record.Service))
}

// Silent reports whether a host has left the requests sent to it without any reply for its SilenceLimit.
func (r *Roster) Silent(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[host]
	return m != nil && m.silent(now, r.bestDuration(m.record.Service))
}

// cost returns the expected cost of sending a request to m, as a duration in ns with penalties.
func (r *Roster) cost(now time.Time, m *member, c Criteria, bestDuration time.Duration) float64 {
	duration := float64(bestDuration)
	if m.reported {
		duration = float64(m.report.Duration)
		if m.failureRatio >= unhealthyFailureRatio {
			duration = max(duration, float64(bestDuration))
		}
	}
	duration = max(duration, float64(time.Millisecond))
	total := duration
	if overload := m.utilization() - freeUtilization; overload > 0 {
		overload /= 1 - freeUtilization
		total += duration * fullPenalty * overload * overload
	}
	if m.record.FailureDomain != r.self.FailureDomain {
		if c.LargeBody {
			total += duration * crossDomainLargeBodyPenalty
		} else {
			total += duration * crossDomainPenalty
		}
	}
	if m.silent(now, bestDuration) {
		total *= silentPenaltyFactor
	}
	successRatio := 1 - min(maxFailureRatio, m.failureRatio)
	return total / (successRatio * successRatio) * (1 + costJitter*r.rand.Float64())
}
