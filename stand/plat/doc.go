// Package plat runs a simulated platform in one process, on loopback addresses: the log, the
// weight store, engines, services and the platform list.
package plat
