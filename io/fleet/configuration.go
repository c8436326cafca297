package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"mustardmast/core/revision"
	"mustardmast/core/roster"
	"mustardmast/core/routing"
	"mustardmast/core/watch"
	"mustardmast/io/eventlog"
)

type document struct {
	table *routing.Table
	raw   []byte
}

// Ready reports whether requests can be served: a configuration is installed and other hosts are known.
func (f *Fleet) Ready() bool { return f.document.Load() != nil && f.hostsKnown.Load() }

// Table returns the installed configuration; nil before the first one.
func (f *Fleet) Table() *routing.Table {
	if d := f.document.Load(); d != nil {
		return d.table
	}
	return nil
}

// Version returns the version of the installed configuration; 0 before the first one.
func (f *Fleet) Version() uint64 {
	if t := f.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// ConfigDocument implements hostlink.GossipHandler.
func (f *Fleet) ConfigDocument() []byte {
	if d := f.document.Load(); d != nil {
		return d.raw
	}
	return nil
}

// install replaces the installed configuration if t has a higher version. If that was not learned by a watch, the
// watches of other nodes may have missed it too, so it is passed on.
func (f *Fleet) install(t *routing.Table, raw []byte, s source) {
	next := &document{table: t, raw: raw}
	for {
		now := f.document.Load()
		if now != nil && now.table.Version() >= t.Version() {
			return
		}
		if f.document.CompareAndSwap(now, next) {
			f.log.Write(eventlog.ConfigInstalled, zap.Uint64("version", t.Version()), zap.String("from", s.name))
			if now != nil && !s.watch {
				f.passOn()
			}
			return
		}
	}
}

// source is where a configuration comes from.
type source struct {
	name  string
	watch bool // a watch on the store, which tells the other nodes at the same time
}

// passOn tells passOnFanout random nodes which version of the configuration is installed.
func (f *Fleet) passOn() {
	others := f.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, r := range others[:min(passOnFanout, len(others))] {
		go f.probe(r)
	}
}

func (f *Fleet) followConfiguration() {
	var at revision.Revision // of the last answer; the zero value if the configuration has to be read
	waits := watch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	delay := minRetryDelay
	for f.ctx.Err() == nil {
		var d routing.Document
		var err error
		from, began := at, f.timers.Now()
		watching := f.era.Holds(from)
		if watching {
			d, err = f.store.WatchConfiguration(f.ctx, from, waits.Next(f.roster.Size()))
		} else {
			ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
			d, err = f.store.Configuration(ctx)
			cancel()
		}
		f.recordStoreStatus(err)
		f.observeEra(d.Revision.Era)
		if watching && d.Raw == nil {
			f.log.Write(eventlog.ConfigWatchEnded, zap.Uint64("from", from.Number), zap.Uint64("from-era", from.Era),
				zap.Uint64("revision", d.Revision.Number), zap.Uint64("era", d.Revision.Era), zap.Bool("history-lost", d.HistoryLost),
				zap.Duration("took", f.timers.Now().Sub(began)), zap.Error(err))
		}
		switch {
		case err != nil && d.Raw != nil:
			f.log.Write(eventlog.ConfigObjectUnreadable, zap.Error(err))
		case err != nil:
			if d.Revision.Era == 0 {
				at = revision.Revision{} // without an answer, the store may have been restored
			}
			f.store.CloseIdle()
			f.sleep(delay)
			delay = min(maxRetryDelay, 2*delay)
			continue
		}
		at = d.Revision
		if d.HistoryLost || watching && !at.Follows(from) {
			at = revision.Revision{}
		}
		delay = minRetryDelay
		if d.Table != nil {
			f.install(d.Table, d.Raw, source{name: "platform", watch: watching && at.Number != 0})
		}
		if f.Table() == nil || !watching && !f.era.Holds(at) {
			f.sleep(minRetryDelay)
		}
	}
}

const (
	// passOnFanout is the number of nodes that a node tells of a configuration that watches have missed. Each of them
	// does the same, so all know of it after a few round trips.
	passOnFanout = 3
	// callTimeout limits a call to the store other than a watch. A slow store takes some hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// enrollSpreadPerHost times the number of hosts is the time over which the hosts enroll again in a restored store,
	// whose rate of calls is limited.
	enrollSpreadPerHost = 5 * time.Millisecond
	// messageTimeout limits an exchange of one message with another node.
	messageTimeout = 600 * time.Millisecond
	// gossipPeriod is the interval at which a node synchronizes its hosts with another one. A node that starts while the
	// store is unavailable gets all hosts from the first node that synchronizes with it.
	gossipPeriod = time.Second
	// probePeriod is the interval at which a node checks which of the hosts that are down are due for a retry.
	probePeriod = 200 * time.Millisecond
	// maxParallelSends bounds the number of messages sent concurrently.
	maxParallelSends = 8
)

// FetchNewerConfig fetches the configuration from a host that has a newer version. It does not block, and does nothing
// while an earlier fetch is in progress.
func (f *Fleet) FetchNewerConfig(host string, version uint64) {
	if version <= f.Version() || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		for _, r := range f.roster.Records() {
			if r.Host == host {
				f.fetchConfig(r)
			}
		}
	}()
}

func (f *Fleet) fetchConfig(r roster.Record) {
	ctx, cancel := context.WithTimeout(f.ctx, messageTimeout)
	defer cancel()
	raw, err := f.link.FetchConfig(ctx, r.Address)
	if err != nil {
		f.log.Write(eventlog.ConfigNotPulled, zap.String("host", r.Host), zap.Error(err))
		return
	}
	t, err := f.decode(raw)
	if err != nil {
		f.log.Write(eventlog.ConfigRejected, zap.String("from", r.Host), zap.Error(err))
		return
	}
	f.install(t, raw, source{name: r.Host})
}
