// Package downstream serves the clients' connections: it accepts them, reads requests and writes responses.
//
// A Server turns each request into an event for the router and writes the responses that the router decides
// on. Two goroutines serve a connection: one reads and one writes. A connection that has been idle for about
// a second is suspended: only its descriptor is kept, in a poller.Poller, until data arrives on it.
//
// # Life of a connection
//
// Server.admit adds an accepted connection to the table (package idle) and starts its goroutines, suspends it
// at once, or rejects it. The type phase lists the phases of a connection: it is open, then possibly
// suspending, then ending (nothing more is read, responses are still written), lingering (the server has
// closed its sending side, and the client may still read what was written) and closed. A resumed connection
// is a new connection value in the slot of the suspended one.
//
// # Locks
//
// Locks are acquired in the following order. A goroutine may skip a lock, but must not acquire it while it
// holds a later one.
//
//  1. Server.mu
//  2. connection.mu
//  3. idleConnections.mu
//
// evictedConnections.mu is acquired before connection.mu, while none of the others is held.
//
// Comments at the fields say which lock guards them. heartbeat.mu and the poller's lock are acquired last: no
// other lock is acquired while one of them is held.
package downstream
