// Package control implements the control plane of a node: gossip over UDP, and the calls Sync, Config, Outcome and
// Quarantine over connect-go on the peer address.
//
// A Control connects the packages that hold the protocol logic to the network: core/member decides which nodes to ping
// and what to gossip, core/dissemination when to pull a configuration and how many nodes to notify, and core/rollout
// whether a configuration is installed. Control also watches the platform if this node is one of the two watchers of
// its failure domain, and discovers its first peers from its settings and the platform object seeds/<failure-domain>.
//
// Periodic work is driven by the timer service. One goroutine reads the UDP socket, one discovers peers and maintains
// the seeds object; others exist only while a call or a watch is in progress. All bytes are counted; those of gossip,
// Sync and Config draw on one token bucket.
package control

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/dissemination"
	"mustardmast/core/member"
	"mustardmast/core/rollout"
	"mustardmast/io/eventlog"
)

const (
	tickInterval     = 100 * time.Millisecond
	electionInterval = time.Second
	configObject     = "config"
)

// DecodeConfig decodes the value of the platform's configuration object.
type DecodeConfig func(value []byte) (generation uint64, changeID string, text []byte, err error)

// InstallConfig parses a configuration text and puts it in force. It must have no effect if it returns an error.
type InstallConfig func(generation uint64, changeID string, text []byte) error

// Settings configure a Control. Outcomes, Quarantine, WantedServices, OnDigest, OnChange, OnAlarm and Client may be
// nil.
type Settings struct {
	Self           mustardmast.Member
	Listen         netip.AddrPort // listen address, if it differs from the address of Self
	Seeds          []netip.AddrPort
	Platform       mustardmast.Platform
	Timers         mustardmast.Timers
	Decode         DecodeConfig
	Install        InstallConfig
	Outcomes       Outcomes
	Quarantine     Quarantine
	WantedServices func() []string // services that this node calls; Sync returns their members first
	// OnDigest, OnChange and OnAlarm are called concurrently and must not block.
	OnDigest func(from mustardmast.NodeID, digest []byte)
	OnChange func(member.Change)
	OnAlarm  func(rollout.Alarm)
	Rand     *rand.Rand
	Log      *eventlog.Log
	Client   *http.Client // for control calls; nil uses unencrypted HTTP/2
}

// Control is the control plane of one node. It is safe for concurrent use, except for Start and Close.
type Control struct {
	platformDown atomic.Bool // whether the last read failed, so that only changes are logged
	s            Settings
	members      *member.Members
	bucket       *member.TokenBucket
	rollout      *rollout.Rollout
	disseminator *dissemination.Disseminator
	history      *dissemination.History
	meter        Meter
	client       *client
	conn         *net.UDPConn

	ctx          context.Context
	stop         context.CancelFunc
	running      sync.WaitGroup
	closeMu      sync.Mutex // guards closed, so that no goroutine starts after Close
	closed       bool
	cancelTimers []func()
	syncing      atomic.Bool

	mu                sync.Mutex // guards the fields below
	rng               *rand.Rand
	election          dissemination.WatchElection
	stopWatch         context.CancelFunc
	lastConflictCheck time.Time
}

func (s *Settings) listen() netip.AddrPort {
	if s.Listen.IsValid() {
		return s.Listen
	}
	return s.Self.Address
}

// New opens the UDP socket and returns a control plane. It sends nothing before Start is called.
func New(s Settings) (*Control, error) {
	for _, text := range []string{s.Self.Name, s.Self.FailureDomain, s.Self.Region, s.Self.Service} {
		if len(text) > member.MaxStringBytes || !utf8.ValidString(text) {
			return nil, errors.Errorf("invalid name %q in the member record: must be UTF-8 of at most %d bytes", text, member.MaxStringBytes)
		}
	}
	if s.Self.ID == 0 {
		return nil, errors.New("the member record of this node has no incarnation id")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listen()))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for gossip on %v", s.Self.Address)
	}
	now := s.Timers.Now()
	bucket := member.NewTokenBucket(now, member.DefaultRate, member.DefaultBurst)
	c := &Control{
		s: s, bucket: bucket, conn: conn,
		members: member.New(now, member.Settings{Self: s.Self, Seeds: s.Seeds, Bucket: bucket},
			rand.New(rand.NewPCG(s.Rand.Uint64(), s.Rand.Uint64()))),
		rollout:      rollout.New(1 + len(s.Seeds)),
		disseminator: dissemination.New(),
		history:      dissemination.NewHistory(),
		rng:          rand.New(rand.NewPCG(s.Rand.Uint64(), s.Rand.Uint64())),
	}
	c.client = newClient(s.Client, c.countBytes)
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c, nil
}

// Members returns this node's view of the membership, which the data path uses as its Directory.
func (c *Control) Members() *member.Members { return c.members }

// Version returns the configuration in force.
func (c *Control) Version() rollout.Version { return c.rollout.Current() }

// Ready reports whether the state of the configuration allows the node to serve.
func (c *Control) Ready(now time.Time) bool { return c.rollout.Ready(now) }

// Meter returns the counters of the control traffic.
func (c *Control) Meter() *Meter { return &c.meter }

// Declare updates the state, service and slots that this node gossips about itself.
func (c *Control) Declare(state mustardmast.MemberState, service string, slots uint32) {
	c.applyMembership(c.members.Declare(c.s.Timers.Now(), state, service, slots))
}

// ProbeNow probes a member at once, because it does not respond on the data path.
func (c *Control) ProbeNow(id mustardmast.NodeID) {
	c.applyMembership(c.members.ProbeNow(c.s.Timers.Now(), id))
}

// SetDigest sets the quarantine digest that datagrams carry.
func (c *Control) SetDigest(d []byte) { c.members.SetDigest(d) }

// Start starts gossip and requests the configuration from the platform and all seeds.
func (c *Control) Start() {
	c.goRun(c.receive)
	c.goRun(c.readInitialConfig)
	c.goRun(c.maintainSeeds)
	for _, seed := range c.s.Seeds {
		c.goRun(func() { c.pullFromSeed(seed) })
	}
	c.cancelTimers = append(c.cancelTimers,
		c.s.Timers.Every(tickInterval, c.tick),
		c.s.Timers.Every(electionInterval, c.updateWatch))
}

// Close stops all goroutines and waits for them. A node that leaves calls Declare with the state Left first.
func (c *Control) Close() {
	for _, cancel := range c.cancelTimers {
		cancel()
	}
	c.closeMu.Lock()
	c.closed = true
	c.closeMu.Unlock()
	c.stop()
	_ = c.conn.Close()
	c.running.Wait()
	c.client.close()
}

// goRun runs f on a goroutine that Close waits for. It does nothing after Close.
func (c *Control) goRun(f func()) {
	c.closeMu.Lock()
	defer c.closeMu.Unlock()
	if c.closed {
		return
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

func (c *Control) tick(now time.Time) {
	defer c.meter.recordBusy(time.Now())
	c.applyMembership(c.members.Tick(now))
	c.applyDissemination(now, c.disseminator.Tick(now))
}

// receive reads datagrams until the socket is closed.
func (c *Control) receive() {
	buf := make([]byte, 2*member.MaxPacket)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if c.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // for example an ICMP error caused by an earlier send
		}
		c.meter.received.Add(uint64(n + member.UDPOverhead))
		c.handleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func (c *Control) handleDatagram(from netip.AddrPort, b []byte) {
	defer c.meter.recordBusy(time.Now())
	p, err := decodePacket(b)
	if err != nil {
		c.meter.malformed.Add(1)
		return
	}
	now := c.s.Timers.Now()
	c.applyMembership(c.members.Receive(now, from, p, len(b)))
	c.handleGeneration(now, p)
	if len(p.Digest) > 0 && c.s.OnDigest != nil {
		c.s.OnDigest(p.From, p.Digest)
	}
}

// applyMembership sends the packets, reports the changes and starts the exchange that membership requested.
func (c *Control) applyMembership(out member.Output) {
	for _, s := range out.Packets {
		b, err := encodePacket(s.Packet)
		if err != nil {
			c.s.Log.Write(eventlog.GossipNotSent, zap.Error(err))
			continue
		}
		c.meter.sent.Add(uint64(len(b) + member.UDPOverhead))
		// The protocol tolerates lost datagrams, so a failed send needs no handling.
		_, _ = c.conn.WriteToUDPAddrPort(b, s.To)
	}
	if c.s.OnChange != nil {
		for _, ch := range out.Changes {
			c.s.OnChange(ch)
		}
	}
	if len(out.SyncPeers) > 0 {
		c.goRun(func() {
			if c.syncing.CompareAndSwap(false, true) {
				defer c.syncing.Store(false)
				c.sync(out.SyncPeers)
			}
		})
	}
}

// changeHash returns the hash of a change id that datagrams carry. It is never 0, the value of an absent hash.
func changeHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(h.Sum32(), 1)
}
