// Package stall detects connections that make no progress although their peer is alive.
//
// A connection can lose its network path permanently while new connections to the same peer work. Neither side gets an
// error, so calls on the connection would wait until their deadlines. A Detector is informed of the events on each
// connection and compares the connection with the others to the same peer:
//
//   - A connection is expected to receive bytes while a short call on it is queued or sent. Long calls are normally
//     silent, so they are not counted. A connection without a pending short call is never judged.
//   - Silence lasts since the last byte received, or since the connection was first expected to receive bytes.
//   - After SuspectAfter of silence the connection is Suspect. The caller then pings the peer on this and on an idle
//     connection, or on a new one if AllowOpen permits it, so that there is something to compare with.
//   - After DeadAfter of silence the connection is Dead if another connection to the peer received bytes meanwhile. If
//     none did, the peer itself is slow or down, which membership and target selection handle.
//
// With the defaults and a Check every 100 ms, a stalled connection becomes Dead within a second. A Dead verdict lists
// the calls that may be sent again on another connection: those of which no byte was sent, and idempotent ones. The
// others may have been executed, and their outcome must be queried.
//
// A pause of this process looks like silence on every connection. A long gap between two Checks therefore restarts the
// silence of all connections.
package stall
