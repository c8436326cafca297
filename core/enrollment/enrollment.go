// Package enrollment decides when a node writes its entry in the platform's store and when it reads those of the others.
//
// Nodes find each other by these entries. A node writes its own before it reads the others', so that of two nodes that
// start together at least one finds the other. A store that is restored from a copy may have lost any entry, which only
// its node can write again, and may have got entries since that this node has not read. So both steps are due again in
// each era of the store.
package enrollment

// Enrollment holds in which eras a node has taken the two steps. The zero value is that of a node that has started. It is
// not safe for concurrent use.
type Enrollment struct {
	registered, listed         bool
	registeredEra, listedInEra uint64
}

// Registered records that the store has confirmed the node's entry in an era.
func (e *Enrollment) Registered(era uint64) { e.registered, e.registeredEra = true, era }

// Listed records that the entries of the others have been read in an era.
func (e *Enrollment) Listed(era uint64) {
	e.listed = e.registered && e.registeredEra == era
	e.listedInEra = era
}

// EntryDue reports whether the node's entry has to be written, if the store is in an era.
func (e *Enrollment) EntryDue(era uint64) bool { return !e.registered || e.registeredEra < era }

// ListDue reports whether the entries of the others have to be read, if the store is in an era.
func (e *Enrollment) ListDue(era uint64) bool {
	return e.EntryDue(era) || !e.listed || e.listedInEra < era
}
