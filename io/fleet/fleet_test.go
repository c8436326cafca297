package fleet_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"mustardmast/core/quarantine"
	"mustardmast/core/revision"
	"mustardmast/core/roster"
	"mustardmast/core/routing"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
	"mustardmast/io/hostlink"
	"mustardmast/io/tick"
)

// store is a store without a configuration whose list of hosts has one unreadable entry. Eras has the eras of the lists;
// entries are written in the eras 1, 2 and so on.
type store struct {
	eras       chan uint64
	registered *atomic.Uint64
}

func (s store) Hosts(ctx context.Context) (roster.Listing, error) {
	select {
	case era := <-s.eras:
		return roster.Listing{Era: era, Unreadable: []roster.Unreadable{{Name: "odd", Revision: 7, Reason: errors.New("odd")}}}, nil
	case <-ctx.Done():
		return roster.Listing{}, ctx.Err()
	}
}

func (s store) Configuration(ctx context.Context) (routing.Document, error) {
	return s.WatchConfiguration(ctx, revision.Revision{}, 0)
}

func (s store) WatchConfiguration(ctx context.Context, _ revision.Revision, _ time.Duration) (routing.Document, error) {
	<-ctx.Done()
	return routing.Document{}, ctx.Err()
}

func (s store) Register(context.Context, roster.Record) (uint64, error) {
	return s.registered.Add(1), nil
}

func (s store) Remove(context.Context, string) error { return nil }
func (s store) CloseIdle()                           {}

// Guards against an unreadable entry that is not logged since its revision was that of another one before the store was
// restored, and against one that is logged twice.
func TestUnreadableEntryIsLoggedOnceInEachEra(t *testing.T) {
	core, logs := observer.New(zapcore.WarnLevel)
	log := eventlog.New(zap.New(core))
	self := roster.Record{Host: "a", Address: "127.0.0.1:1", Service: "board"}
	r := roster.New(self, 1)
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	timers := tick.New()
	defer timers.Close()
	s := store{eras: make(chan uint64, 3), registered: &atomic.Uint64{}}
	f := fleet.New(r, link, s, timers, func([]byte) (*routing.Table, error) { return nil, nil }, quarantine.New(self.NodeID()), log)
	for _, era := range []uint64{2, 3, 3} { // a list of another era than the entry's is read again
		s.eras <- era
	}
	f.Start()
	defer f.Stop()
	for end := time.Now().Add(5 * time.Second); len(s.eras) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until the last list has been handled
	assert.Equal(t, logs.FilterMessage("host-entry-unreadable").Len(), 2)
}
