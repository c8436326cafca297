package mustardmast

import (
	"net/netip"
	"time"
)

// NodeID identifies a node incarnation, which is one run of one node process. It is random and never reused.
type NodeID uint64

// MemberState is the state of a member in the view of a node.
type MemberState uint8

// Member states. Only Ready members receive calls.
const (
	Joining MemberState = iota
	Ready
	Draining
	Suspect
	Unreachable
	Left
)

// Member is a node incarnation and the target on its host.
type Member struct {
	ID                NodeID
	Name              string
	Address           netip.AddrPort // peer address, TCP and UDP
	FailureDomain     string
	Region            string
	Service           string // empty until a target has announced itself
	Slots             uint32
	State             MemberState
	RefutationCounter uint32 // incremented only by the member itself, to refute reports about it
}

// Directory lists the members that serve a service, in the view of this node. It is safe for concurrent use.
type Directory interface {
	// Serving returns the members of a service that may receive calls. The slice must not be modified.
	Serving(service string) []Member

	// Find returns a member by its ID, whatever its state.
	Find(id NodeID) (Member, bool)
}

// Load is the load that the node of a target reports with each response.
type Load struct {
	InFlight uint32
	Queued   uint32
	Limit    uint32
	Age      time.Duration // time since the load was measured
}
