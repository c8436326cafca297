// Package mustardmast defines the interfaces between the parts of an overload control layer for service call graphs.
//
// A node runs on every target host. It admits calls to its own target, chooses targets for calls that leave the
// host, and reports to each caller truthfully whether its request was executed. The decisions are made by the packages
// below core, which do no I/O: they take events and an explicit time and return decisions. Each package below io
// connects them to one kind of peer: callers, targets, other nodes, the platform's object API or operators.
//
// The interfaces have several implementations, which are in the packages below.
package mustardmast
