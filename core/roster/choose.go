package roster

import "time"

// Criteria is what a host is chosen for.
type Criteria struct {
	Service   string
	LargeBody bool            // the request has a large body
	Exclude   map[string]bool // hosts that have turned it away
	Only      map[string]bool // if not empty, no other hosts
}

func (c Criteria) allows(host string) bool {
	return !c.Exclude[host] && (len(c.Only) == 0 || c.Only[host])
}

// Choose returns the host with the lowest price for a request.
func (r *Roster) Choose(now time.Time, c Criteria) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := r.usual(c.Service)
	candidates := r.fit[:0]
	for _, m := range r.ordered {
		if m.record.Service == c.Service && m.record.Ready && !m.down && c.allows(m.record.Host) {
			candidates = append(candidates, m)
		}
	}
	r.fit = candidates
	if len(candidates) == 0 {
		return r.lastResort(now, c)
	}
	if r.rand.Float64() < explore {
		m := candidates[r.rand.IntN(len(candidates))]
		if !m.silent(now, usual) && m.occupancy() < 1 {
			return m.record, true
		}
	}
	var best *member
	lowest := 0.0
	for _, m := range candidates {
		if p := r.price(now, m, c, usual); best == nil || p < lowest {
			best, lowest = m, p
		}
	}
	return best.record, true
}

// lastResort returns a host that is down but may be tried again.
func (r *Roster) lastResort(now time.Time, c Criteria) (Record, bool) {
	var best *member
	for _, m := range r.ordered {
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
	best.retryAt = now.Add(firstPause)
	return best.record, true
}

// usual is the shortest duration reported for a service by hosts where requests do well. It stands in for hosts that
// have not reported yet, and for those whose requests fail, which may be fast at it.
func (r *Roster) usual(service string) time.Duration {
	shortest := time.Duration(0)
	for _, m := range r.ordered {
		if m.record.Service == service && m.reported && m.failing < unwell && (shortest == 0 || m.report.Duration < shortest) {
			shortest = m.report.Duration
		}
	}
	return shortest
}

func (m *member) occupancy() float64 {
	if !m.reported || m.report.Limit == 0 {
		return 0
	}
	return float64(max(m.outstanding, m.report.Running+m.report.Waiting)) / float64(m.report.Limit)
}

func (m *member) silent(now time.Time, usual time.Duration) bool {
	if m.outstanding == 0 || m.oldest.IsZero() {
		return false
	}
	duration := usual
	if m.reported {
		duration = m.report.Duration
	}
	return now.Sub(m.oldest) > max(silence, silentDurations*duration)
}

func (r *Roster) price(now time.Time, m *member, c Criteria, usual time.Duration) float64 {
	duration := float64(usual)
	if m.reported {
		duration = float64(m.report.Duration)
		if m.failing >= unwell {
			duration = max(duration, float64(usual))
		}
	}
	duration = max(duration, float64(time.Millisecond))
	p := duration
	if over := m.occupancy() - easy; over > 0 {
		over /= 1 - easy
		p += duration * crowding * over * over
	}
	if m.record.FailureDomain != r.self.FailureDomain {
		if c.LargeBody {
			p += duration * crossBulky
		} else {
			p += duration * crossDomain
		}
	}
	if m.silent(now, usual) {
		p *= avoided
	}
	well := 1 - min(mostFailing, m.failing)
	return p / (well * well) * (1 + spread*r.rand.Float64())
}
