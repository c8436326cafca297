// Package fleet keeps a node in step with the others: the hosts that it knows and the configuration in force.
//
// The platform's store serves for first contact: each node enters its address there at its start, reads the entries of
// the others, and introduces itself to each of them. From then on nodes tell each other what changes, and a node that
// cannot be reached is tried again directly. The configuration comes by a watch on the store; every reply and
// every exchange of news carries the version of its sender, and a node that is behind fetches the configuration from the
// one that is ahead.
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
	"mustardmast/core/fault"
	"mustardmast/core/roster"
	"mustardmast/core/routing"
	"mustardmast/io/eventlog"
	"mustardmast/io/hostlink"
)

// Store is what a fleet needs of the platform.
type Store interface {
	Configuration(ctx context.Context) (routing.Document, error)
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (routing.Document, error)
	Hosts(ctx context.Context) (hosts []roster.Record, unreadable []string, err error)
	Register(ctx context.Context, r roster.Record) error
	Remove(ctx context.Context, host string) error
	CloseIdle()
}

// Fleet is one node's view of the others. Its methods may be called concurrently.
type Fleet struct {
	roster *roster.Roster
	link   *hostlink.Client
	store  Store
	timers mustardmast.Timers
	decode func(raw []byte) (*routing.Table, error)
	log    *eventlog.Log

	document atomic.Pointer[document]
	known    atomic.Bool // hosts have been read from the store or from another node
	storeUp  atomic.Bool
	fetching atomic.Bool
	probing  sync.Map // hosts that are being probed
	ctx      context.Context
	stop     context.CancelFunc
}

// New returns a fleet that knows nothing. Decode decodes a configuration that another node has sent.
func New(r *roster.Roster, link *hostlink.Client, s Store, t mustardmast.Timers, decode func([]byte) (*routing.Table, error), l *eventlog.Log) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	return &Fleet{roster: r, link: link, store: s, timers: t, decode: decode, log: l, ctx: ctx, stop: stop}
}

// Start begins to read the store and to talk to other nodes.
func (f *Fleet) Start() {
	go f.followConfiguration()
	go f.join()
	f.timers.Every(probePeriod, func(now time.Time) {
		for _, r := range f.roster.DueForRetry(now) {
			go f.probe(r)
		}
	})
	f.timers.Every(gossipPeriod, func(time.Time) { go f.compare() })
}

// Stop ends it.
func (f *Fleet) Stop() { f.stop() }

// watch is the wait of one watch. It is random so that the watches of the nodes do not end together.
func (f *Fleet) watch() time.Duration {
	w := min(longestWatch, max(leastWatch, time.Duration(f.roster.Size())*watchPart))
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(w))
}

func (f *Fleet) noteStore(err error) {
	if up := err == nil; f.storeUp.Swap(up) != up {
		if up {
			f.log.Write(eventlog.PlatformUp)
		} else {
			f.log.Write(eventlog.PlatformDown, zap.Error(err), zap.Uint64("version", f.Version()))
		}
	}
}

func (f *Fleet) sleep(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-f.ctx.Done():
	case <-t.C:
	}
}

// join enters this host in the store, reads the others, and introduces itself.
func (f *Fleet) join() {
	registered, pause := false, firstRetry
	for f.ctx.Err() == nil {
		var err error
		if !registered {
			if err = f.register(); err == nil {
				registered = true
			}
		}
		if lerr := f.list(); lerr == nil {
			if registered {
				return
			}
		} else {
			err = lerr
		}
		f.log.Write(eventlog.HostNotRegistered, zap.Error(err))
		f.sleep(pause)
		pause = min(longestRetry, 2*pause)
	}
}

func (f *Fleet) register() error {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	return f.store.Register(ctx, f.roster.Self())
}

func (f *Fleet) list() error {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	hosts, unreadable, err := f.store.Hosts(ctx)
	if err != nil {
		return err
	}
	for _, name := range unreadable {
		f.log.Write(eventlog.HostEntryUnreadable, zap.String("entry", name))
	}
	for _, r := range hosts {
		r.Ready = true // until the host says otherwise
		f.merge(r, false)
	}
	f.known.Store(true)
	f.tellAll()
	return nil
}

func (f *Fleet) merge(r roster.Record, direct bool) {
	if r.Host == "" || r.Address == "" {
		return
	}
	if f.roster.Merge(r, direct) {
		f.log.Write(eventlog.HostChanged, zap.String("host", r.Host), zap.String("address", r.Address), zap.String("service", r.Service),
			zap.Bool("ready", r.Ready), zap.Bool("direct", direct), zap.Int64("started-ms", r.Started), zap.Uint64("sequence", r.Sequence))
	}
}

// UpdateSelf tells the other nodes what has changed on this host.
func (f *Fleet) UpdateSelf(service string, ready bool) {
	if r, changed := f.roster.UpdateSelf(service, ready); changed {
		f.log.Write(eventlog.HostChanged, zap.String("host", r.Host), zap.String("service", service), zap.Bool("ready", ready), zap.Uint64("sequence", r.Sequence))
		f.tellAll()
	}
}

// tellAll sends the own record to every host. It does not wait for their answers.
func (f *Fleet) tellAll() { f.broadcast(f.probe) }

// broadcast calls send for every other host, for some at a time. The group that it returns ends with the last one.
func (f *Fleet) broadcast(send func(roster.Record)) *sync.WaitGroup {
	hosts := make(chan roster.Record)
	self := f.roster.Self().Host
	go func() {
		defer close(hosts)
		for _, r := range f.roster.Records() {
			if r.Host != self {
				hosts <- r
			}
		}
	}()
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for r := range hosts {
				send(r)
			}
		})
	}
	return &wg
}

// probe sends the own record to a host and takes its answer.
func (f *Fleet) probe(r roster.Record) {
	f.exchange(r, hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version()})
}

// compare compares the known hosts with those of another node, taken at random.
func (f *Fleet) compare() {
	self := f.roster.Self().Host
	others := slices.DeleteFunc(f.roster.Records(), func(r roster.Record) bool { return r.Host == self })
	if len(others) > 0 {
		f.compareWith(others[rand.IntN(len(others))])
	}
}

func (f *Fleet) exchange(r roster.Record, n hostlink.GossipMessage) {
	ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
	defer cancel()
	if _, busy := f.probing.LoadOrStore(r.Host, struct{}{}); busy && n.Digest != 0 {
		return
	}
	defer f.probing.Delete(r.Host)
	answer, err := f.link.Exchange(ctx, r.Address, n)
	if err != nil {
		if f.ctx.Err() == nil && f.roster.MarkDown(f.timers.Now(), r.Host) {
			f.HostDown(r.Host, err)
		}
		return
	}
	if answer.From.Host != r.Host {
		return // another host has the address by now
	}
	if f.roster.MarkUp(r.Host) {
		f.log.Write(eventlog.HostUp, zap.String("host", r.Host))
	}
	f.take(answer)
	if answer.Digest != 0 {
		f.known.Store(true)
	}
}

// Exchange implements hostlink.GossipHandler.
func (f *Fleet) Exchange(n hostlink.GossipMessage) hostlink.GossipMessage {
	f.take(n)
	records := f.roster.Records()
	answer := hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version()}
	if n.Digest != 0 && f.known.Load() {
		answer.Digest = digest(records)
		if n.Digest != answer.Digest {
			answer.Hosts = records
		}
	}
	if !f.known.Load() && n.From.Host != "" {
		go f.compareWith(n.From)
	}
	return answer
}

// compareWith asks a host for all that it knows, if that differs from what this node knows.
func (f *Fleet) compareWith(r roster.Record) {
	f.exchange(r, hostlink.GossipMessage{From: f.roster.Self(), Version: f.Version(), Digest: digest(f.roster.Records())})
}

func (f *Fleet) take(n hostlink.GossipMessage) {
	if n.From.Host != "" {
		f.merge(n.From, true)
		if f.roster.MarkUp(n.From.Host) {
			f.log.Write(eventlog.HostUp, zap.String("host", n.From.Host))
		}
	}
	for _, r := range n.Hosts {
		f.merge(r, false)
	}
	for _, host := range n.RemovedHosts {
		f.roster.Remove(host)
		f.log.Write(eventlog.HostLeft, zap.String("host", host), zap.String("from", n.From.Host))
	}
	if n.Version > f.Version() {
		f.FetchNewerConfig(n.From.Host, n.Version)
	}
}

// digest is equal for nodes that know the same of the same hosts.
func digest(records []roster.Record) uint64 {
	h := fnv.New64a()
	for _, r := range records {
		_, _ = h.Write([]byte(r.Host + "/" + r.Address + "/" + strconv.FormatInt(r.Started, 10) + "/")) // a hash never fails
	}
	return h.Sum64() | 1
}

// HostDown reports that a host cannot be reached.
func (f *Fleet) HostDown(host string, err error) {
	f.log.Write(eventlog.HostDown, zap.String("host", host), zap.Error(err))
}

// Leave tells the others that this host takes no more calls. If it leaves for good, its entry in the store goes, and the
// others forget it. It returns when all have been told or could not be.
func (f *Fleet) Leave(forGood bool) {
	f.UpdateSelf(f.roster.Self().Service, false)
	if !forGood {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	if err := f.store.Remove(ctx, f.roster.Self().Host); err != nil {
		f.log.Write(eventlog.HostNotRegistered, zap.Error(err))
	}
	self := f.roster.Self()
	f.broadcast(func(r roster.Record) {
		ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
		defer cancel()
		// A host that does not hear of it finds this one down.
		if _, err := f.link.Exchange(ctx, r.Address, hostlink.GossipMessage{From: self, RemovedHosts: []string{self.Host}, Version: f.Version()}); err != nil {
			f.log.Write(eventlog.HostDown, zap.String("host", r.Host), zap.Error(fault.Wrap(err, fault.PeerUnreachable, "leaving")))
		}
	}).Wait()
}
