// Package target tracks the replicas that a box can use and selects one for each call.
package target
