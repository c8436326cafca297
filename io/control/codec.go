package control

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/io/control/controlv1"
)

// encodePacket encodes a datagram.
func encodePacket(p member.Packet) ([]byte, error) {
	d := &controlv1.Datagram{
		Kind:          controlv1.Kind(p.Kind),
		From:          uint64(p.From),
		To:            uint64(p.To),
		Sequence:      p.Sequence,
		Status:        uint32(p.State),
		Counter:       p.Counter,
		Target:        uint64(p.Target),
		TargetAddress: encodeAddress(p.TargetAddress),
		Introduce:     p.Introduce,
		Generation:    p.Generation,
		ChangeHash:    p.ChangeHash,
		Digest:        p.Digest,
		Updates:       encodeUpdates(p.Updates),
	}
	b, err := proto.Marshal(d)
	return b, errors.Wrap(err, "encode datagram")
}

func decodePacket(b []byte) (member.Packet, error) {
	var d controlv1.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		return member.Packet{}, errors.Wrap(err, "decode datagram")
	}
	if d.Kind < controlv1.Kind_KIND_PING || d.Kind > controlv1.Kind_KIND_GOSSIP {
		return member.Packet{}, errors.Errorf("unknown datagram kind %d", d.Kind)
	}
	state, _ := member.SplitStatus(d.Status)
	return member.Packet{
		Kind:          member.Kind(d.Kind),
		From:          mustardmast.NodeID(d.From),
		To:            mustardmast.NodeID(d.To),
		Sequence:      d.Sequence,
		State:         state,
		Counter:       d.Counter,
		Target:        mustardmast.NodeID(d.Target),
		TargetAddress: decodeAddress(d.TargetAddress),
		Introduce:     d.Introduce,
		Generation:    d.Generation,
		ChangeHash:    d.ChangeHash,
		Digest:        d.Digest[:min(len(d.Digest), member.MaxDigest)],
		Updates:       decodeUpdates(d.Updates),
	}, nil
}

func encodeUpdates(us []member.Update) []*controlv1.Member {
	out := make([]*controlv1.Member, len(us))
	for i, u := range us {
		m := &controlv1.Member{Id: uint64(u.Member.ID), Status: u.Status(), Counter: u.Member.RefutationCounter}
		if !u.Brief {
			m.Address = encodeAddress(u.Member.Address)
			m.Name = u.Member.Name
			m.FailureDomain = u.Member.FailureDomain
			m.Region = u.Member.Region
			m.Service = u.Member.Service
			m.Slots = u.Member.Slots
			m.Started = u.Started
		}
		out[i] = m
	}
	return out
}

func decodeUpdates(ms []*controlv1.Member) []member.Update {
	out := make([]member.Update, len(ms))
	for i, m := range ms {
		state, liveness := member.SplitStatus(m.Status)
		out[i] = member.Update{
			Member: mustardmast.Member{
				ID:                mustardmast.NodeID(m.Id),
				Name:              m.Name,
				Address:           decodeAddress(m.Address),
				FailureDomain:     m.FailureDomain,
				Region:            m.Region,
				Service:           m.Service,
				Slots:             m.Slots,
				State:             state,
				RefutationCounter: m.Counter,
			},
			Liveness: liveness,
			Started:  m.Started,
			Brief:    len(m.Address) == 0,
		}
	}
	return out
}

func encodeAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// decodeAddress returns the zero address for bytes that do not encode an address. Membership ignores records without
// one.
func decodeAddress(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if len(b) == 0 || a.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap().WithZone(""), a.Port())
}
