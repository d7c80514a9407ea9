// Package work holds the plain types of calls that a box passes through: routes, replicas,
// boxes, calls and their answers, and the records that a box keeps in the log.
package work
