package mustardmast

import (
	"net/netip"
	"time"
)

// NodeID names one node incarnation, that is one lifetime of one process. It is random and never reused.
type NodeID uint64

// MemberState is what a node believes about a member.
type MemberState uint8

// Member states. Only Ready members are given work.
const (
	Joining MemberState = iota
	Ready
	Draining
	Suspect
	Unreachable
	Left
)

// Member is one node incarnation and the target on its host.
type Member struct {
	ID                NodeID
	Name              string
	Address           netip.AddrPort // peer address, TCP and UDP
	FailureDomain     string
	Region            string
	Service           string // empty until a target has announced itself
	Slots             uint32
	State             MemberState
	RefutationCounter uint32 // refutation counter, raised only by the member itself
}

// Directory lists the members that serve a service, as this node knows them.
type Directory interface {
	// Serving returns the members of a service that may be given work. The slice must not be changed.
	Serving(service string) []Member

	// Find returns one member, also one that is not ready.
	Find(id NodeID) (Member, bool)
}

// Load is what a target's node reports on each answer.
type Load struct {
	InFlight uint32
	Queued   uint32
	Limit    uint32
	Age      time.Duration // time since the figures were taken
}
