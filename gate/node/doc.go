// Package node assembles the services of a box that forwards calls to replicas: its view of the other
// boxes, its slots, the configuration and replicas that it follows, and the entry for calls.
package node
