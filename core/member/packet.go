package member

import (
	"math/bits"
	"net/netip"

	"mustardmast"
)

// Kind is the type of a packet.
type Kind uint8

// Kinds of packets.
const (
	Ping        Kind = iota + 1 // requests an Ack
	Ack                         // response to a Ping, direct or relayed
	PingRequest                 // requests that the receiver ping Target and relay its Ack
	Gossip                      // carries updates and is not acknowledged
)

// Sizes in bytes.
const (
	MaxPacket   = 1200 // fits the MTU of all usual paths without fragmentation
	MaxDigest   = 160  // of Packet.Digest
	UDPOverhead = 28   // IPv4 and UDP headers, which count as control traffic too
)

// Packet is the payload of one datagram.
type Packet struct {
	Kind          Kind
	From          mustardmast.NodeID
	To            mustardmast.NodeID // the incarnation addressed; 0 if only the address is known
	Sequence      uint32
	State         mustardmast.MemberState // state and counter that the sender declares for itself
	Counter       uint32
	Target        mustardmast.NodeID // ping request: the member to ping; relayed ack: the member that answered
	TargetAddress netip.AddrPort
	Introduce     bool   // requests the receiver's full record
	Generation    uint64 // configuration in force at the sender, see SetConfig
	ChangeHash    uint32
	Digest        []byte // opaque, see SetDigest
	Updates       []Update
}

// Size returns the size of the protobuf encoding in bytes. The codec's tests compare it with the real encoding.
func (p Packet) Size() int {
	n := 2 + 9 + fixed64Size(uint64(p.To)) + varintSize(uint64(p.Sequence)) + varintSize(uint64(p.State)) +
		varintSize(uint64(p.Counter)) + fixed64Size(uint64(p.Target)) + varintSize(p.Generation) + bytesSize(len(p.Digest))
	if p.TargetAddress.IsValid() {
		n += bytesSize(addressSize(p.TargetAddress))
	}
	if p.Introduce {
		n += 2
	}
	if p.ChangeHash != 0 {
		n += 5
	}
	for _, u := range p.Updates {
		n += u.Size()
	}
	return n
}

// Size returns the encoded size of the update within a packet in bytes.
func (u Update) Size() int {
	n := fixed64Size(uint64(u.Member.ID)) + varintSize(uint64(u.Status())) + varintSize(uint64(u.Member.RefutationCounter))
	if !u.Brief {
		n += bytesSize(addressSize(u.Member.Address)) + bytesSize(len(u.Member.Name)) + bytesSize(len(u.Member.FailureDomain)) +
			bytesSize(len(u.Member.Region)) + bytesSize(len(u.Member.Service)) + varintSize(uint64(u.Member.Slots)) + varintSize(u.Started)
	}
	return 1 + varintLen(uint64(n)) + n
}

// Status returns the declared state and the liveness packed into one number.
func (u Update) Status() uint32 { return uint32(u.Member.State) | uint32(u.Liveness)<<4 }

// SplitStatus is the inverse of Status. It clamps unknown values to the highest known one.
func SplitStatus(s uint32) (mustardmast.MemberState, Liveness) {
	return mustardmast.MemberState(min(s&15, uint32(mustardmast.Left))), Liveness(min(s>>4&3, uint32(Faulty)))
}

func addressSize(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return 6
	}
	return 18
}

func varintLen(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// varintSize, fixed64Size and bytesSize return the encoded size of a protobuf field with a one-byte tag. Fields with a
// zero value are omitted.
func varintSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + varintLen(v)
}

func fixed64Size(v uint64) int {
	if v == 0 {
		return 0
	}
	return 9
}

func bytesSize(n int) int {
	if n == 0 {
		return 0
	}
	return 1 + varintLen(uint64(n)) + n
}
