// Package revision identifies states of the platform's store.
//
// The store counts its changes. When it is restored from a copy, its count goes back and the same numbers are given out
// again, for other changes. Each restore begins a new era, so a number identifies a state only together with its era.
package revision

// Revision identifies a state of the store. The zero value identifies none.
type Revision struct {
	Era    uint64 // rises by one with each restore; 0 if the store does not state it
	Number uint64 // of changes in the history of this era
}

// Follows reports whether r is o or a later state of the same history, so that the changes from o to r are known.
func (r Revision) Follows(o Revision) bool { return r.Era == o.Era && r.Number >= o.Number }
