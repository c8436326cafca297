package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mustardmast/core/roster"
	"mustardmast/core/routing"
	"mustardmast/io/eventlog"
)

type document struct {
	table *routing.Table
	raw   []byte
}

// Ready reports whether requests can be served: a configuration is in force and other hosts are known.
func (f *Fleet) Ready() bool { return f.document.Load() != nil && f.known.Load() }

// Table is the configuration in force; nil before the first one.
func (f *Fleet) Table() *routing.Table {
	if d := f.document.Load(); d != nil {
		return d.table
	}
	return nil
}

// Version is the version of the configuration in force; 0 before the first one.
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

// install puts a configuration in force if it is later than the one that is.
func (f *Fleet) install(t *routing.Table, raw []byte, from string) {
	next := &document{table: t, raw: raw}
	for {
		now := f.document.Load()
		if now != nil && now.table.Version() >= t.Version() {
			return
		}
		if f.document.CompareAndSwap(now, next) {
			f.log.Write(eventlog.ConfigInstalled, zap.Uint64("version", t.Version()), zap.String("from", from))
			return
		}
	}
}

func (f *Fleet) followConfiguration() {
	var revision uint64
	pause := firstRetry
	for f.ctx.Err() == nil {
		var d routing.Document
		var err error
		if revision == 0 {
			ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
			d, err = f.store.Configuration(ctx)
			cancel()
		} else {
			d, err = f.store.WatchConfiguration(f.ctx, revision, f.watch())
		}
		f.noteStore(err)
		switch {
		case err != nil && d.Raw != nil:
			f.log.Write(eventlog.ConfigObjectUnreadable, zap.Error(err))
			revision = d.Revision
		case err != nil:
			f.store.CloseIdle()
			f.sleep(pause)
			pause = min(longestRetry, 2*pause)
			continue
		case d.HistoryLost:
			revision = 0
		default:
			revision = d.Revision
		}
		pause = firstRetry
		if d.Table != nil {
			f.install(d.Table, d.Raw, "platform")
		}
		if f.Table() == nil {
			f.sleep(firstRetry)
		}
	}
}

const (
	// watchPart is the wait of a watch for each host of the fleet. A watch whose connection has gone silent is noticed
	// when its wait is over; with many hosts some watch ends soon, and the others hear of a change from that node.
	watchPart    = 250 * time.Millisecond
	leastWatch   = 2 * time.Second
	longestWatch = 30 * time.Second // the most that the store allows
	// callTimeout is for one call to the store that does not wait. A slow store takes some hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a call to the store that failed.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// messageTimeout is for one message to another node.
	messageTimeout = 600 * time.Millisecond
	// gossipPeriod is how often a node compares what it knows with another one. A node that starts while the store is away
	// learns all from the first one that does.
	gossipPeriod = time.Second
	// probePeriod is how often hosts that are down are looked through for those that are due.
	probePeriod = 200 * time.Millisecond
	// parallel bounds the messages that are sent at a time.
	parallel = 8
)

// FetchNewerConfig fetches the configuration from a host that has a later one.
func (f *Fleet) FetchNewerConfig(host string, version uint64) {
	if version <= f.Version() || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		for _, r := range f.roster.Records() {
			if r.Host == host {
				f.fetch(r)
			}
		}
	}()
}

func (f *Fleet) fetch(r roster.Record) {
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
	f.install(t, raw, r.Host)
}
