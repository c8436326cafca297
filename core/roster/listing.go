package roster

// Unreadable describes an entry of the store that is not the valid record of a host.
type Unreadable struct {
	Name     string // empty if not even that can be decoded
	Revision uint64 // of the store, at the entry's last change
	Reason   error
}

// Listing is a list of the entries of hosts in the platform's store.
type Listing struct {
	Era        uint64 // of the store; the earliest one if the list was read in several
	Hosts      []Record
	Unreadable []Unreadable
}
