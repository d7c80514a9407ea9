// Package model is a stand-in of a model engine: continuous batching on a token clock, a
// prefix cache of limited size, priorities, streams that resume and cancel, KV export and
// import, late and gappy cache events, lagging load reports, and orders with or without
// fencing.
package model
