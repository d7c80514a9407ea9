// Package load runs programs against a fleet in open loop and compares every answer with
// the one that the stand-in model or service must give.
package load
