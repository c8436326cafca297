// Package stall finds connections that make no progress although their peer is alive.
//
// A connection can lose its path for good while new connections to the same peer work. Neither side gets an error, so
// calls on it would wait for their deadlines. The Detector is told what happens on each connection and compares it with
// the others to the same peer:
//
//   - A connection owes an answer while a short call on it is queued or sent. Long calls are quiet by nature, so they
//     make nobody suspicious; a connection that owes nothing is never judged.
//   - Silence runs from the last byte seen, or from the moment the connection came to owe an answer.
//   - After SuspectAfter of silence the connection is Suspect. The shell now makes a comparison: it pings this and an
//     idle connection to the peer, or opens another one if AllowOpen agrees.
//   - After DeadAfter of silence it is Dead if another connection to the peer showed bytes meanwhile. If none did, the
//     peer itself is slow or gone, which is the business of membership and target selection.
//
// With the defaults and a Check every 100 ms a verdict comes within a second. A Dead verdict says which calls may move
// to another connection: those of which no byte was sent, and idempotent ones. The rest may have run; their outcome
// must be asked for.
//
// A pause of the own process looks like silence on every connection. A gap between two Checks restarts all silences.
package stall
