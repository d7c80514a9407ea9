// Package node composes the services of a box that passes calls through: its view of the
// other boxes, its slots, the configuration and replicas that it follows, and its entry.
package node
