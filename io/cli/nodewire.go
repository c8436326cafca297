package cli

import (
	"fmt"
	"time"

	"mustardmast/core/fault"
	"mustardmast/io/operator"
)

type wireStatus struct {
	Nodes   []wireNode   `json:"nodes"`
	Domains []wireDomain `json:"failure-domains"`
}

type wireNode struct {
	Address       string                    `json:"address"`
	Error         string                    `json:"error,omitempty"`
	Name          string                    `json:"node,omitempty"`
	ID            string                    `json:"id,omitempty"`
	FailureDomain string                    `json:"failure-domain,omitempty"`
	Generation    uint64                    `json:"generation"`
	Alarm         string                    `json:"alarm,omitempty"`
	Draining      bool                      `json:"draining"`
	InFlight      uint32                    `json:"in-flight"`
	Limit         uint32                    `json:"limit"`
	Queued        uint32                    `json:"queued"`
	Quarantined   int                       `json:"quarantined"`
	Levels        []wireLevel               `json:"admission-levels,omitempty"`
	Services      map[string]map[string]int `json:"services,omitempty"`
}

type wireLevel struct {
	Priority string `json:"priority"`
	Backer   string `json:"backer"`
	Level    int    `json:"level"`
}

type wireDomain struct {
	Name    string `json:"name"`
	Lowest  uint64 `json:"lowest-generation"`
	Highest uint64 `json:"highest-generation"`
	Nodes   int    `json:"nodes"`
}

func statusToWire(replies []statusReply) wireStatus {
	w := wireStatus{Nodes: []wireNode{}, Domains: []wireDomain{}}
	for _, r := range replies {
		if r.err != nil {
			w.Nodes = append(w.Nodes, wireNode{Address: r.address, Error: fault.From(r.err).Kind().String()})
			continue
		}
		w.Nodes = append(w.Nodes, nodeToWire(r.address, r.status))
	}
	for _, d := range domains(replies) {
		w.Domains = append(w.Domains, wireDomain{Name: d.name, Lowest: d.lowest, Highest: d.highest, Nodes: d.nodes})
	}
	return w
}

func nodeToWire(address string, s operator.Status) wireNode {
	n := wireNode{Address: address, Name: s.Name, ID: fmt.Sprintf("%016x", uint64(s.ID)), FailureDomain: s.FailureDomain,
		Generation: s.Generation, Alarm: s.Alarm, Draining: s.Draining, InFlight: s.Load.InFlight, Limit: s.Load.Limit,
		Queued: s.Load.Queued, Quarantined: s.Quarantined, Services: map[string]map[string]int{}}
	for _, l := range s.Levels {
		n.Levels = append(n.Levels, wireLevel{Priority: l.Priority, Backer: l.Backer, Level: int(l.Level)})
	}
	for _, v := range s.Services {
		states := map[string]int{}
		for state, count := range v.Members {
			states[operator.StateName(state)] = count
		}
		n.Services[v.Name] = states
	}
	return n
}

type wireExplanation struct {
	RequestID string        `json:"request-id"`
	Outcomes  []wireOutcome `json:"outcomes"`
	Events    []wireStep    `json:"events"`
}

type wireOutcome struct {
	Node    string `json:"node"`
	Outcome string `json:"outcome"`
}

type wireStep struct {
	Node   string    `json:"node"`
	At     time.Time `json:"at"`
	Name   string    `json:"what"`
	Detail string    `json:"detail,omitempty"`
}

func explanationToWire(id string, steps []step, outcomes []wireOutcome) wireExplanation {
	w := wireExplanation{RequestID: id, Outcomes: outcomes, Events: []wireStep{}}
	for _, s := range steps {
		w.Events = append(w.Events, wireStep{Node: s.node, At: s.At.UTC(), Name: s.Name, Detail: s.Detail})
	}
	return w
}

type wireQuarantine struct {
	Node    string            `json:"node"`
	Cleared int               `json:"cleared"`
	Entries []wireQuarantined `json:"entries,omitempty"`
}

type wireQuarantined struct {
	Fingerprint string `json:"fingerprint"`
	Method      string `json:"method"`
	Backer      string `json:"backer"`
	Crashes     int    `json:"crashes"`
	State       string `json:"state"`
	ExpiresMS   int64  `json:"expires-ms"`
}

func quarantinedToWire(entries []operator.Quarantined) []wireQuarantined {
	out := []wireQuarantined{}
	for _, q := range entries {
		w := wireQuarantined{Fingerprint: q.Fingerprint, Method: q.Method, Backer: q.Backer, Crashes: q.Crashes, State: "suspect",
			ExpiresMS: q.ExpiresIn.Milliseconds()}
		if q.Blocked {
			w.State = "quarantined"
		}
		out = append(out, w)
	}
	return out
}
