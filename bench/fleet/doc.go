// Package fleet runs boxes as processes against stand-ins in this process, with a proxy
// on every link between boxes and to the log.
package fleet
