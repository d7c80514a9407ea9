// Package plat runs the platform's stand-ins in one process, on loopback.
package plat
