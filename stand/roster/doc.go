// Package roster is a stand-in of the platform's lagging list of live and leaving boxes
// and targets.
package roster
