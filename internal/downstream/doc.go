// Package downstream serves the clients' connections: it accepts them, reads requests and writes responses.
//
// A Server turns each request into an event for the router, and writes the responses that the router
// decides on. Two goroutines serve a connection, one that reads and one that writes. A connection that has
// been idle for about a second is suspended: only its descriptor is kept, in a poller.Poller, until
// something comes on it.
//
// # Life of a connection
//
// Server.admit takes an accepted connection into the table (package idle) and starts its goroutines, or
// rejects it, or suspends it at once. Its phases are those of type phase: it is open, perhaps suspending,
// then ending (nothing more is read, responses are still written), lingering (its sending side is closed,
// the client may read what was written) and closed. A resumed connection is a new connection value with the
// slot of the one before.
//
// # Locks
//
// They are taken in this order; a goroutine may take one of them without those before it:
//
//  1. Server.mu
//  2. connection.mu
//  3. idleConnections.mu
//
// Each says at its field what it guards. heartbeat.mu and the poller's own are taken last, and no other
// lock is taken while one of them is held.
package downstream
