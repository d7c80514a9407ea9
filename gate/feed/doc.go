// Package feed follows the log topics that operators and replicas write: the configuration and the list
// of replicas.
package feed
