// Package fleet runs boxes as processes against a stand-in platform in this process, on
// request with a proxy on every link between boxes and to the log.
package fleet
