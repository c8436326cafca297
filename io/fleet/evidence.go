package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mustardmast/core/quarantine"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

const (
	// evidencePeriod is how long a node that has started, or whose service has changed, requests all evidence of the
	// nodes of its service.
	evidencePeriod = 10 * time.Second
	// maxGossipEvidence and maxReplyEvidence bound the evidence in a gossip message and in a reply to a node that requests
	// all of it, in bytes.
	maxGossipEvidence = 2 << 10
	maxReplyEvidence  = 64 << 10
	// evidenceFanout is the number of nodes that evidence is gossiped to in each period, as long as it is new.
	evidenceFanout = 2
)

// requestEvidence makes this node request all evidence for some time.
func (f *Fleet) requestEvidence() {
	f.evidenceUntil.Store(f.timers.Now().Add(evidencePeriod).UnixNano())
}

// evidenceFor returns the evidence in the reply to a message: all of it if the sender has requested that, else what this
// node knows of the same requests. Nodes of other services get none, as requests are rejected beside their target.
func (f *Fleet) evidenceFor(msg hostlink.GossipMessage) []quarantine.Update {
	if msg.From.Service != f.roster.Self().Service {
		return nil
	}
	now := f.timers.Now()
	if msg.WantEvidence {
		return f.quarantine.Updates(now, maxReplyEvidence)
	}
	fingerprints := make([]quarantine.Fingerprint, len(msg.Evidence))
	for i, u := range msg.Evidence {
		fingerprints[i] = u.Fingerprint
	}
	return f.quarantine.UpdatesFor(now, fingerprints)
}

// SendEvidence implements crash.Notifier. Gossip repeats the updates for nodes that do not reply or are down.
func (f *Fleet) SendEvidence(ctx context.Context, service string, updates []quarantine.Update) {
	if len(updates) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, r := range f.roster.Reachable(service) {
		wg.Go(func() { f.exchangeEvidence(ctx, r, updates) })
	}
	wg.Wait()
}

// gossipEvidence sends new evidence to a few nodes of the service.
func (f *Fleet) gossipEvidence() {
	others := f.roster.Reachable(f.roster.Self().Service)
	if len(others) == 0 {
		return
	}
	updates := f.quarantine.GossipUpdates(f.timers.Now(), maxGossipEvidence)
	if len(updates) == 0 {
		return
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
	defer cancel()
	for _, r := range others[:min(evidenceFanout, len(others))] {
		f.exchangeEvidence(ctx, r, updates)
	}
}

func (f *Fleet) exchangeEvidence(ctx context.Context, r roster.Record, updates []quarantine.Update) {
	reply, err := f.link.Exchange(ctx, r.Address, hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version(), Evidence: updates})
	if err == nil && reply.From.Host == r.Host { // a host that does not reply is noticed by the exchanges of records
		f.applyMessage(reply)
	}
}
