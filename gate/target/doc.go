// Package target holds what a box believes of the replicas, and chooses one for each call.
package target
