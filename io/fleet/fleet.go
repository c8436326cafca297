// Package fleet keeps the hosts that a node knows and its configuration consistent with those of the other nodes.
//
// The platform's store is used for discovery: each node registers its address there when it starts and when the store was
// restored from a copy, reads the entries of the others, and sends its own record to each of them. From then on nodes
// send each other their changes, and a node that cannot be reached is retried directly. The configuration is read by a
// watch on the store. In addition every reply and every gossip message carries the configuration version of its sender, and
// a node with an older version fetches the configuration from the sender. Nodes of the same service exchange evidence about requests that crash targets.
package fleet

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/enrollment"
	"mustardmast/core/era"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/core/revision"
	"mustardmast/core/roster"
	"mustardmast/core/routing"
	"mustardmast/io/eventlog"
	"mustardmast/io/hostlink"
)

// Store is the part of the platform's store that a fleet uses.
type Store interface {
	Configuration(ctx context.Context) (routing.Document, error)
	WatchConfiguration(ctx context.Context, after revision.Revision, wait time.Duration) (routing.Document, error)
	Hosts(ctx context.Context) (roster.Listing, error)
	Register(ctx context.Context, r roster.Record) (era uint64, err error)
	Remove(ctx context.Context, host string) error
	CloseIdle()
}

// Fleet is a node's view of the other nodes. Its methods may be called concurrently.
type Fleet struct {
	roster *roster.Roster
	link   *hostlink.Client
	store  Store
	timers mustardmast.Timers
	decode func(raw []byte) (*routing.Table, error)
	log    *eventlog.Log

	quarantine    *quarantine.Quarantine
	evidenceUntil atomic.Int64 // until when this node requests all evidence, in Unix nanoseconds

	document   atomic.Pointer[document]
	hostsKnown atomic.Bool // hosts have been read from the store or from another node
	storeUp    atomic.Bool
	era        era.Tracker
	fetching   atomic.Bool
	exchanging sync.Map // hosts with an exchange in progress
	unreadable atomic.Int64
	logged     map[string]revision.Revision // of each unreadable entry that has been logged; used by enroll only
	ctx        context.Context
	stop       context.CancelFunc

	restored       chan struct{} // has a value after the store was restored
	enrolling      context.Context
	stopEnrolling  context.CancelFunc
	enrollingEnded chan struct{}
}

// New returns a fleet without hosts and configuration. Decode decodes a configuration that another node has sent. Evidence
// in q is exchanged with the nodes of the same service.
func New(r *roster.Roster, link *hostlink.Client, s Store, t mustardmast.Timers, decode func([]byte) (*routing.Table, error), q *quarantine.Quarantine, l *eventlog.Log) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	enrolling, stopEnrolling := context.WithCancel(ctx)
	return &Fleet{
		roster: r, link: link, store: s, timers: t, decode: decode, quarantine: q, log: l, logged: map[string]revision.Revision{}, ctx: ctx, stop: stop,
		restored: make(chan struct{}, 1), enrolling: enrolling, stopEnrolling: stopEnrolling, enrollingEnded: make(chan struct{}),
	}
}

// Start starts reading the store and exchanging messages with other nodes.
func (f *Fleet) Start() {
	f.requestEvidence()
	go f.followConfiguration()
	go f.keepEnrolled()
	f.timers.Every(probePeriod, func(now time.Time) {
		for _, r := range f.roster.DueForRetry(now) {
			go f.probe(r)
		}
	})
	f.timers.Every(gossipPeriod, func(now time.Time) {
		f.quarantine.Tick(now)
		go f.syncWithRandomHost()
		go f.gossipEvidence()
	})
}

// Stop ends what Start has started and cancels calls in progress.
func (f *Fleet) Stop() { f.stop() }

func (f *Fleet) recordStoreStatus(err error) {
	if up := err == nil; f.storeUp.Swap(up) != up {
		if up {
			f.log.Write(eventlog.PlatformUp)
		} else {
			f.log.Write(eventlog.PlatformDown, zap.Error(err), zap.Uint64("version", f.Version()))
		}
	}
}

// observeEra records the era that a response of the store states.
func (f *Fleet) observeEra(number uint64) {
	before := f.era.Current()
	if f.era.Observe(number) {
		f.log.Write(eventlog.PlatformRestored, zap.Uint64("era", number), zap.Uint64("before", before), zap.Uint64("version", f.Version()))
		select {
		case f.restored <- struct{}{}:
		default: // the last restore has not been handled yet
		}
	}
}

// StoreEra returns the latest era that a response of the store has stated; 0 if none has.
func (f *Fleet) StoreEra() uint64 { return f.era.Current() }

func (f *Fleet) sleep(d time.Duration) { sleep(f.ctx, d/2+rand.N(d)) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// keepEnrolled enrolls this host at the start and whenever the store has been restored.
func (f *Fleet) keepEnrolled() {
	defer close(f.enrollingEnded)
	var e enrollment.Enrollment
	for {
		f.enroll(&e)
		select {
		case <-f.enrolling.Done():
			return
		case <-f.restored:
		}
		sleep(f.enrolling, rand.N(time.Duration(f.roster.Size())*enrollSpreadPerHost))
	}
}

// enroll registers this host in the store, reads the other hosts, and sends them its record.
func (f *Fleet) enroll(e *enrollment.Enrollment) {
	for delay := minRetryDelay; f.enrolling.Err() == nil && e.ListDue(f.era.Current()); delay = min(maxRetryDelay, 2*delay) {
		var err error
		if e.EntryDue(f.era.Current()) {
			err = f.register(e)
		}
		if listErr := f.readHosts(e); listErr != nil {
			err = listErr
		}
		if err != nil && f.enrolling.Err() == nil {
			f.log.Write(eventlog.HostNotRegistered, zap.Error(err))
		}
		if e.ListDue(f.era.Current()) {
			sleep(f.enrolling, delay/2+rand.N(delay))
		}
	}
}

func (f *Fleet) register(e *enrollment.Enrollment) error {
	ctx, cancel := context.WithTimeout(f.enrolling, callTimeout)
	defer cancel()
	era, err := f.store.Register(ctx, f.roster.Self())
	f.observeEra(era)
	if err == nil {
		e.Registered(era)
	}
	return err
}

func (f *Fleet) readHosts(e *enrollment.Enrollment) error {
	ctx, cancel := context.WithTimeout(f.enrolling, callTimeout)
	defer cancel()
	list, err := f.store.Hosts(ctx)
	f.observeEra(list.Era)
	if err != nil {
		return err
	}
	e.Listed(list.Era)
	f.recordUnreadable(list)
	for _, r := range list.Hosts {
		r.Ready = true // until the host reports otherwise
		f.merge(r, false)
	}
	f.hostsKnown.Store(true)
	f.announceToAll()
	return nil
}

// recordUnreadable logs the entries that cannot be decoded, once for each of their revisions.
func (f *Fleet) recordUnreadable(list roster.Listing) {
	f.unreadable.Store(int64(len(list.Unreadable)))
	for _, e := range list.Unreadable {
		at := revision.Revision{Era: list.Era, Number: e.Revision}
		if last, ok := f.logged[e.Name]; ok && last == at {
			continue
		}
		f.logged[e.Name] = at
		f.log.Write(eventlog.HostEntryUnreadable, zap.String("entry", e.Name), zap.Uint64("revision", e.Revision), zap.Uint64("era", list.Era), zap.Error(e.Reason))
	}
}

// UnreadableEntries returns the number of host entries that could not be decoded when the store was last read.
func (f *Fleet) UnreadableEntries() int { return int(f.unreadable.Load()) }

func (f *Fleet) merge(r roster.Record, direct bool) {
	if r.Host == "" || r.Address == "" {
		return
	}
	if f.roster.Merge(r, direct) {
		f.log.Write(eventlog.HostChanged, zap.String("host", r.Host), zap.String("address", r.Address), zap.String("service", r.Service),
			zap.Bool("ready", r.Ready), zap.Bool("direct", direct), zap.Int64("started-ms", r.Started), zap.Uint64("sequence", r.Sequence))
	}
}

// UpdateSelf changes the record of this host and sends it to the other nodes if it differs.
func (f *Fleet) UpdateSelf(service string, ready bool) {
	if service != f.roster.Self().Service {
		f.requestEvidence()
	}
	if r, changed := f.roster.UpdateSelf(service, ready); changed {
		f.log.Write(eventlog.HostChanged, zap.String("host", r.Host), zap.String("service", service), zap.Bool("ready", ready), zap.Uint64("sequence", r.Sequence))
		f.announceToAll()
	}
}

// announceToAll sends this host's record to every other host. It does not wait for their replies.
func (f *Fleet) announceToAll() { f.broadcast(f.probe) }

// broadcast calls send for every other host, for up to maxParallelSends hosts concurrently. The group that it returns
// is done when the last call has returned.
func (f *Fleet) broadcast(send func(roster.Record)) *sync.WaitGroup {
	hosts := make(chan roster.Record)
	go func() {
		defer close(hosts)
		for _, r := range f.others() {
			hosts <- r
		}
	}()
	var wg sync.WaitGroup
	for range maxParallelSends {
		wg.Go(func() {
			for r := range hosts {
				send(r)
			}
		})
	}
	return &wg
}

// probe sends this host's record to a host and applies its reply.
func (f *Fleet) probe(r roster.Record) {
	f.exchange(r, hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version()})
}

// syncWithRandomHost synchronizes the known hosts with those of a randomly chosen node.
func (f *Fleet) syncWithRandomHost() {
	if others := f.others(); len(others) > 0 {
		f.syncWith(others[rand.IntN(len(others))])
	}
}

// others returns the records of all hosts except this one.
func (f *Fleet) others() []roster.Record {
	self := f.roster.Self().Host
	return slices.DeleteFunc(f.roster.Records(), func(r roster.Record) bool { return r.Host == self })
}

// exchange sends a message to a host and applies the reply. It skips a message with a digest while another exchange
// with the host is in progress. If the host does not reply, it is marked as down.
func (f *Fleet) exchange(r roster.Record, msg hostlink.GossipMessage) {
	ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
	defer cancel()
	if _, busy := f.exchanging.LoadOrStore(r.Host, struct{}{}); busy && msg.Digest != 0 {
		return
	}
	defer f.exchanging.Delete(r.Host)
	msg.WantEvidence = f.timers.Now().UnixNano() < f.evidenceUntil.Load()
	reply, err := f.link.Exchange(ctx, r.Address, msg)
	if err != nil {
		if f.ctx.Err() == nil && f.roster.MarkDown(f.timers.Now(), r.Host) {
			f.HostDown(r.Host, err)
		}
		return
	}
	if reply.From.Host != r.Host {
		return // the address belongs to another host now
	}
	if f.roster.MarkUp(r.Host) {
		f.log.Write(eventlog.HostUp, zap.String("host", r.Host))
	}
	f.applyMessage(reply)
	if reply.Digest != 0 { // the host knows all hosts, and now so does this node
		f.hostsKnown.Store(true)
	}
}

// Exchange implements hostlink.GossipHandler.
func (f *Fleet) Exchange(msg hostlink.GossipMessage) hostlink.GossipMessage {
	f.applyMessage(msg)
	records := f.roster.Records()
	reply := hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version(), Evidence: f.evidenceFor(msg)}
	if msg.Digest != 0 && f.hostsKnown.Load() {
		reply.Digest = digest(records)
		if msg.Digest != reply.Digest {
			reply.Hosts, reply.Removals = records, f.roster.Removals()
		}
	}
	if !f.hostsKnown.Load() && msg.From.Host != "" {
		go f.syncWith(msg.From)
	}
	return reply
}

// syncWith requests all hosts that another host knows, if they differ from those that this node knows.
func (f *Fleet) syncWith(r roster.Record) {
	f.exchange(r, hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version(), Digest: digest(f.roster.Records())})
}

func (f *Fleet) applyMessage(msg hostlink.GossipMessage) {
	if msg.From.Host != "" {
		f.merge(msg.From, true)
		if f.roster.MarkUp(msg.From.Host) {
			f.log.Write(eventlog.HostUp, zap.String("host", msg.From.Host))
		}
	}
	for _, r := range msg.Removals {
		if f.roster.Remove(r) {
			f.log.Write(eventlog.HostLeft, zap.String("host", r.Host), zap.Int64("started-ms", r.Started), zap.String("from", msg.From.Host))
		}
	}
	for _, r := range msg.Hosts {
		f.merge(r, false)
	}
	f.quarantine.Merge(f.timers.Now(), msg.Evidence)
	if msg.Version > f.Version() {
		f.FetchNewerConfig(msg.From.Host, msg.Version)
	}
}

// digest returns a hash of the names, addresses and start times of the hosts. It is never 0.
func digest(records []roster.Record) uint64 {
	h := fnv.New64a()
	for _, r := range records {
		_, _ = h.Write([]byte(r.Host + "/" + r.Address + "/" + strconv.FormatInt(r.Started, 10) + "/")) // a hash never returns an error
	}
	return h.Sum64() | 1
}

// HostDown logs that a host cannot be reached.
func (f *Fleet) HostDown(host string, err error) {
	f.log.Write(eventlog.HostDown, zap.String("host", host), zap.Error(err))
}

// Leave notifies the other nodes that this host accepts no more calls, and does not wait for their replies. If the host
// leaves permanently, Leave also removes its entry from the store, makes the other nodes remove it, and returns when
// each of them has replied or its exchange has failed.
func (f *Fleet) Leave(permanent bool) {
	f.UpdateSelf(f.roster.Self().Service, false)
	if !permanent {
		return
	}
	f.stopEnrolling() // which would write the entry again if the store is restored now
	<-f.enrollingEnded
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	if err := f.store.Remove(ctx, f.roster.Self().Host); err != nil {
		f.log.Write(eventlog.HostNotRegistered, zap.Error(err))
	}
	self := f.roster.Self()
	f.broadcast(func(r roster.Record) {
		ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
		defer cancel()
		// A host that does not receive the message will mark this one as down.
		if _, err := f.link.Exchange(ctx, r.Address, hostlink.GossipMessage{From: self, Removals: []roster.Removal{{Host: self.Host, Started: self.Started}}, Version: f.Version()}); err != nil {
			f.log.Write(eventlog.HostDown, zap.String("host", r.Host), zap.Error(fault.Wrap(err, fault.PeerUnreachable, "leaving")))
		}
	}).Wait()
}
