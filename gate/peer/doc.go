// Package peer implements the requests between boxes: heartbeats and configuration revisions over twirp, and
// callers' requests that are forwarded to the owner of their slot.
package peer
