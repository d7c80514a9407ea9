// Package feed follows what operators and replicas write to the log: the configuration and
// the list of replicas.
package feed
