// Package control is the control traffic between nodes: gossip over UDP, and the Sync, Config, Outcome and Quarantine
// calls over connect-go on the peer address.
//
// A Control wires the pure packages together. core/member says whom to ping and what to tell, core/dissemination when to pull a
// configuration and whom to notify, core/rollout whether a configuration is put in force. Control sends and receives for
// them, watches the platform if this node is one of the two watchers of its failure domain, and finds first peers in
// its settings and in the platform's object seeds/<failure-domain>.
//
// The protocol's timers are one subscription at the timer service. A goroutine reads the UDP socket; others exist only
// while a call or a watch is under way. All bytes are counted; those of gossip, Sync and Config draw on one token
// bucket.
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
	tickEvery    = 100 * time.Millisecond
	decideEvery  = time.Second
	configObject = "config"
)

// DecodeConfig reads the value of the platform's configuration object.
type DecodeConfig func(value []byte) (generation uint64, changeID string, text []byte, err error)

// InstallConfig parses a text and puts it in force. It must change nothing if it returns an error.
type InstallConfig func(generation uint64, changeID string, text []byte) error

// Settings are what New needs. Outcomes, Quarantine, WantedServices, OnDigest, OnChange and Client may be
// nil.
type Settings struct {
	Self           mustardmast.Member
	Listen         netip.AddrPort // where to listen, if it differs from the address of Self
	Seeds          []netip.AddrPort
	Platform       mustardmast.Platform
	Timers         mustardmast.Timers
	Decode         DecodeConfig
	Install        InstallConfig
	Outcomes       Outcomes
	Quarantine     Quarantine
	WantedServices func() []string // services that this node calls; their members are pulled first
	// OnDigest, OnChange and OnAlarm are called from several goroutines and must return quickly.
	OnDigest func(from mustardmast.NodeID, digest []byte)
	OnChange func(member.Change)
	OnAlarm  func(rollout.Alarm)
	Rand     *rand.Rand
	Log      *eventlog.Log
	Client   *http.Client // for control calls; nil makes one that speaks unencrypted HTTP/2
}

// Control is the control plane of one node.
type Control struct {
	platformDown atomic.Bool // whether the last answer was none, so that the log tells changes only
	s            Settings
	members      *member.Members
	bucket       *member.TokenBucket
	rollout      *rollout.Rollout
	spread       *dissemination.Disseminator
	history      *dissemination.History
	meter        Meter
	client       *client
	conn         *net.UDPConn

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	life    sync.Mutex // orders goRun before or after Close
	closed  bool
	cancels []func()
	syncing atomic.Bool

	mu         sync.Mutex // guards what follows
	rng        *rand.Rand
	watch      dissemination.WatchElection
	stopWatch  context.CancelFunc
	conflictAt time.Time
}

func (s *Settings) listen() netip.AddrPort {
	if s.Listen.IsValid() {
		return s.Listen
	}
	return s.Self.Address
}

// New opens the UDP socket on the peer address and returns a control plane that has not started.
func New(s Settings) (*Control, error) {
	for _, text := range []string{s.Self.Name, s.Self.FailureDomain, s.Self.Region, s.Self.Service} {
		if len(text) > member.MaxStringBytes || !utf8.ValidString(text) {
			return nil, errors.Errorf("%q is not a name of at most %d bytes of UTF-8", text, member.MaxStringBytes)
		}
	}
	if s.Self.ID == 0 {
		return nil, errors.New("the node has no incarnation id")
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
		rollout: rollout.New(1 + len(s.Seeds)),
		spread:  dissemination.New(),
		history: dissemination.NewHistory(),
		rng:     rand.New(rand.NewPCG(s.Rand.Uint64(), s.Rand.Uint64())),
	}
	c.client = newClient(s.Client, c.count)
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c, nil
}

// Members returns the node's view, which is also the data path's Directory.
func (c *Control) Members() *member.Members { return c.members }

// Version returns the configuration in force.
func (c *Control) Version() rollout.Version { return c.rollout.Current() }

// Ready says whether the configuration allows the node to serve.
func (c *Control) Ready(now time.Time) bool { return c.rollout.Ready(now) }

// Meter returns the counters of control traffic.
func (c *Control) Meter() *Meter { return &c.meter }

// Declare changes what this node says about itself.
func (c *Control) Declare(state mustardmast.MemberState, service string, slots uint32) {
	c.do(c.members.Declare(c.s.Timers.Now(), state, service, slots))
}

// ProbeNow reports that a member does not respond on the data path.
func (c *Control) ProbeNow(id mustardmast.NodeID) { c.do(c.members.ProbeNow(c.s.Timers.Now(), id)) }

// SetDigest sets the quarantine digest that datagrams carry.
func (c *Control) SetDigest(d []byte) { c.members.SetDigest(d) }

// Start begins gossip and asks the platform and all seeds for the configuration.
func (c *Control) Start() {
	c.goRun(c.receive)
	c.goRun(c.readPlatform)
	c.goRun(c.readSeeds)
	for _, seed := range c.s.Seeds {
		c.goRun(func() { c.askSeed(seed) })
	}
	c.cancels = append(c.cancels,
		c.s.Timers.Every(tickEvery, c.tick),
		c.s.Timers.Every(decideEvery, c.decide))
}

// Close stops all loops and waits for them. A node that leaves declares Left before.
func (c *Control) Close() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.life.Lock()
	c.closed = true
	c.life.Unlock()
	c.stop()
	_ = c.conn.Close()
	c.running.Wait()
	c.client.close()
}

// goRun runs f on its own goroutine, unless the control plane is closed.
func (c *Control) goRun(f func()) {
	c.life.Lock()
	defer c.life.Unlock()
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
	defer c.meter.busy(time.Now())
	c.do(c.members.Tick(now))
	c.spreadDo(now, c.spread.Tick(now))
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
			continue // ICMP errors of earlier sends are reported here
		}
		c.meter.received.Add(uint64(n + member.UDPOverhead))
		c.heard(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func (c *Control) heard(from netip.AddrPort, b []byte) {
	defer c.meter.busy(time.Now())
	p, err := decodePacket(b)
	if err != nil {
		c.meter.malformed.Add(1)
		return
	}
	now := c.s.Timers.Now()
	c.do(c.members.Receive(now, from, p, len(b)))
	c.heardGeneration(now, p)
	if len(p.Digest) > 0 && c.s.OnDigest != nil {
		c.s.OnDigest(p.From, p.Digest)
	}
}

// do carries out what membership asked for.
func (c *Control) do(out member.Output) {
	for _, s := range out.Packets {
		b, err := encodePacket(s.Packet)
		if err != nil {
			c.s.Log.Write(eventlog.GossipNotSent, zap.Error(err))
			continue
		}
		c.meter.sent.Add(uint64(len(b) + member.UDPOverhead))
		// A datagram that cannot be sent is like one that is lost.
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

// changeHash is the short form of a change id that datagrams carry.
func changeHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(h.Sum32(), 1)
}
