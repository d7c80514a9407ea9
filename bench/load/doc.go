// Package load plays programs against a fleet in open loop and holds every answer and
// every effect against an oracle.
package load
