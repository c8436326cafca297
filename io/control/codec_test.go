package control

import (
	"net/netip"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/member"
)

func drawUpdate(t *rapid.T) member.Update {
	u := member.Update{
		Member: mustardmast.Member{
			ID:                mustardmast.NodeID(rapid.Uint64Min(1).Draw(t, "id")),
			State:             mustardmast.MemberState(rapid.IntRange(0, int(mustardmast.Left)).Draw(t, "state")),
			RefutationCounter: rapid.Uint32().Draw(t, "counter"),
		},
		Liveness: member.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness")),
		Brief:    rapid.Bool().Draw(t, "brief"),
	}
	if !u.Brief {
		text := rapid.StringN(0, 16, 64)
		u.Member.Address = drawAddress(t)
		u.Member.Name, u.Member.Region = text.Draw(t, "name"), text.Draw(t, "region")
		u.Member.FailureDomain, u.Member.Service = text.Draw(t, "domain"), text.Draw(t, "service")
		u.Member.Slots = rapid.Uint32().Draw(t, "slots")
		u.Started = rapid.Uint64().Draw(t, "started")
	}
	return u
}

func drawAddress(t *rapid.T) netip.AddrPort {
	port := rapid.Uint16Min(1).Draw(t, "port")
	if rapid.Bool().Draw(t, "v6") {
		a := netip.AddrFrom16([16]byte{0x20, 1, 15: rapid.Byte().Draw(t, "host")})
		return netip.AddrPortFrom(a, port)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, rapid.Byte().Draw(t, "host")}), port)
}

// Guards against datagrams above the maximum size, which occur if core/member computes other sizes than the codec
// produces, and against fields that are lost in a round trip.
func TestPacketSizeAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := member.Packet{
			Kind:       member.Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
			From:       mustardmast.NodeID(rapid.Uint64Min(1).Draw(t, "from")),
			To:         mustardmast.NodeID(rapid.Uint64().Draw(t, "to")),
			Sequence:   rapid.Uint32().Draw(t, "sequence"),
			State:      mustardmast.MemberState(rapid.IntRange(0, int(mustardmast.Left)).Draw(t, "state")),
			Counter:    rapid.Uint32().Draw(t, "counter"),
			Target:     mustardmast.NodeID(rapid.Uint64().Draw(t, "target")),
			Introduce:  rapid.Bool().Draw(t, "introduce"),
			Generation: rapid.Uint64().Draw(t, "generation"),
			ChangeHash: rapid.Uint32().Draw(t, "hash"),
			Digest:     rapid.SliceOfN(rapid.Byte(), 1, member.MaxDigest).Draw(t, "digest"),
		}
		if rapid.Bool().Draw(t, "has target address") {
			p.TargetAddress = drawAddress(t)
		}
		for range rapid.IntRange(1, 5).Draw(t, "updates") {
			p.Updates = append(p.Updates, drawUpdate(t))
		}
		b, err := encodePacket(p)
		assert.NilError(t, err)
		assert.Equal(t, len(b), p.Size())
		got, err := decodePacket(b)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, p), "got %+v, want %+v", got, p)
	})
}

// Guards against a panic of the decoder on arbitrary bytes.
func TestDecodeArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _ = decodePacket(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
