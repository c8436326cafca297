package member

import (
	"math/bits"
	"net/netip"

	"mustardmast"
)

// Kind says what a datagram asks for.
type Kind uint8

// Kinds of datagrams.
const (
	Ping Kind = iota + 1
	Ack
	PingRequest
	Gossip
)

// Sizes of datagrams in bytes.
const (
	MaxPacket = 1200 // passes every usual path unfragmented
	MaxDigest = 160
	Overhead  = 28 // IPv4 and UDP headers, which count as control bytes too
)

// Packet is the content of one datagram.
type Packet struct {
	Kind          Kind
	From          mustardmast.NodeID
	To            mustardmast.NodeID // incarnation addressed; 0 if only the address is known
	Sequence      uint32
	State         mustardmast.MemberState // the sender's own declared state and counter
	Counter       uint32
	Target        mustardmast.NodeID // ping request: whom to ping; relayed ack: who answered
	TargetAddress netip.AddrPort
	Introduce     bool // asks for the receiver's full record
	Generation    uint64
	ChangeHash    uint32
	Digest        []byte
	Updates       []Update
}

// Size returns the number of bytes that the protobuf form takes. The codec's tests hold it to the real encoding.
func (p Packet) Size() int {
	n := 2 + 9 + fixed64(uint64(p.To)) + varint(uint64(p.Sequence)) + varint(uint64(p.State)) +
		varint(uint64(p.Counter)) + fixed64(uint64(p.Target)) + varint(p.Generation) + text(len(p.Digest))
	if p.TargetAddress.IsValid() {
		n += text(addressSize(p.TargetAddress))
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

// Size returns the number of bytes that the update takes within a datagram.
func (u Update) Size() int {
	n := fixed64(uint64(u.Member.ID)) + varint(uint64(u.Status())) + varint(uint64(u.Member.Counter))
	if !u.Brief {
		n += text(addressSize(u.Member.Address)) + text(len(u.Member.Name)) + text(len(u.Member.FailureDomain)) +
			text(len(u.Member.Region)) + text(len(u.Member.Service)) + varint(uint64(u.Member.Slots)) + varint(u.Started)
	}
	return 1 + varintLen(uint64(n)) + n
}

// Status returns the declared state and the doubt in one number.
func (u Update) Status() uint32 { return uint32(u.Member.State) | uint32(u.Liveness)<<4 }

// SplitStatus is the reverse of Status. Values that are not known are taken as the nearest that is.
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

// varint, fixed64 and text return the size of one field with a tag of one byte. Fields of value zero are left out.
func varint(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + varintLen(v)
}

func fixed64(v uint64) int {
	if v == 0 {
		return 0
	}
	return 9
}

func text(n int) int {
	if n == 0 {
		return 0
	}
	return 1 + varintLen(uint64(n)) + n
}
