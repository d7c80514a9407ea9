// Package model simulates a model engine: continuous batching in timed steps, a prefix cache of
// limited size, priorities, streams that can be resumed and cancelled, export and import of
// cached prefixes, lossy cache events, periodic load reports, and orders with or without fencing.
package model
