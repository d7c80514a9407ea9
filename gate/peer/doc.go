// Package peer carries what boxes say to one another: heartbeats and revisions by twirp,
// and callers' requests forwarded to the owner of their slot.
package peer
