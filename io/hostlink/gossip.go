package hostlink

import (
	"math"
	"time"

	"mustardmast/core/quarantine"
	"mustardmast/core/roster"
)

// GossipMessage is what nodes exchange about the hosts.
type GossipMessage struct {
	From     roster.Record
	Hosts    []roster.Record  // hosts known to the sender; sent if the digests differ
	Removals []roster.Removal // hosts that have left for good; sent by those that leave, and if the digests differ
	Version  uint64           // version of the configuration of the sender
	Digest   uint64           // digest of the hosts known to the sender; 0 if not sent

	Evidence     []quarantine.Update // about requests that may crash targets, for nodes of the same service
	WantEvidence bool                // the sender has started recently, so the reply must contain all evidence
}

type wireRecord struct {
	Host     string `json:"host"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Service  string `json:"service"`
	Started  int64  `json:"started-ms"`
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready"`
}

type wireRemoval struct {
	Host    string `json:"host"`
	Started int64  `json:"started-ms"`
}

type wireMessage struct {
	From    wireRecord    `json:"from"`
	Hosts   []wireRecord  `json:"hosts,omitempty"`
	Left    []wireRemoval `json:"left,omitempty"`
	Version uint64        `json:"version"`
	Digest  uint64        `json:"digest,omitempty"`

	Evidence     []wireUpdate `json:"evidence,omitempty"`
	WantEvidence bool         `json:"want-evidence,omitempty"`
}

type wireUpdate struct {
	Fingerprint uint64      `json:"fingerprint"`
	Completed   *wireEvent  `json:"completed,omitempty"`
	Cleared     *wireEvent  `json:"cleared,omitempty"`
	Crashes     []wireEvent `json:"crashes,omitempty"`
}

type wireEvent struct {
	ID    uint64 `json:"id"`
	AgeMS int64  `json:"age-ms"`
}

func recordToWire(r roster.Record) wireRecord {
	return wireRecord{Host: r.Host, Address: r.Address, Domain: r.FailureDomain, Service: r.Service, Started: r.Started, Sequence: r.Sequence, Ready: r.Ready}
}

func recordFromWire(w wireRecord) roster.Record {
	return roster.Record{Host: w.Host, Address: w.Address, FailureDomain: w.Domain, Service: w.Service, Started: w.Started, Sequence: w.Sequence, Ready: w.Ready}
}

func messageToWire(m GossipMessage) wireMessage {
	w := wireMessage{From: recordToWire(m.From), Version: m.Version, Digest: m.Digest, WantEvidence: m.WantEvidence}
	for _, r := range m.Hosts {
		w.Hosts = append(w.Hosts, recordToWire(r))
	}
	for _, r := range m.Removals {
		w.Left = append(w.Left, wireRemoval{Host: r.Host, Started: r.Started})
	}
	for _, u := range m.Evidence {
		w.Evidence = append(w.Evidence, updateToWire(u))
	}
	return w
}

func messageFromWire(w wireMessage) GossipMessage {
	m := GossipMessage{From: recordFromWire(w.From), Version: w.Version, Digest: w.Digest, WantEvidence: w.WantEvidence}
	for _, r := range w.Hosts {
		m.Hosts = append(m.Hosts, recordFromWire(r))
	}
	for _, r := range w.Left {
		m.Removals = append(m.Removals, roster.Removal{Host: r.Host, Started: r.Started})
	}
	for _, u := range w.Evidence {
		m.Evidence = append(m.Evidence, updateFromWire(u))
	}
	return m
}

func updateToWire(u quarantine.Update) wireUpdate {
	w := wireUpdate{Fingerprint: uint64(u.Fingerprint), Completed: optionalEventToWire(u.Completed), Cleared: optionalEventToWire(u.Cleared)}
	for _, c := range u.Crashes {
		w.Crashes = append(w.Crashes, eventToWire(c))
	}
	return w
}

func updateFromWire(w wireUpdate) quarantine.Update {
	u := quarantine.Update{Fingerprint: quarantine.Fingerprint(w.Fingerprint), Completed: optionalEventFromWire(w.Completed), Cleared: optionalEventFromWire(w.Cleared)}
	for _, c := range w.Crashes {
		u.Crashes = append(u.Crashes, eventFromWire(c))
	}
	return u
}

func optionalEventToWire(e quarantine.Event) *wireEvent {
	if e.Age == quarantine.Never {
		return nil
	}
	w := eventToWire(e)
	return &w
}

func optionalEventFromWire(w *wireEvent) quarantine.Event {
	if w == nil {
		return quarantine.Event{Age: quarantine.Never}
	}
	return eventFromWire(*w)
}

// eventToWire rounds the age down: an event that seems younger than it is remains valid longer, never shorter.
func eventToWire(e quarantine.Event) wireEvent {
	return wireEvent{ID: e.ID, AgeMS: int64(math.Floor(float64(e.Age) / float64(time.Millisecond)))}
}

// maxEventAge exceeds every age that has an effect, and prevents an overflow of time.Duration.
const maxEventAge = 24 * time.Hour

func eventFromWire(w wireEvent) quarantine.Event {
	limit := maxEventAge.Milliseconds()
	return quarantine.Event{ID: w.ID, Age: time.Duration(max(-limit, min(w.AgeMS, limit))) * time.Millisecond}
}
