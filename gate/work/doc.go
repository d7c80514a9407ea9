// Package work defines the data types that boxes share: routes, services, replicas, boxes, workspaces,
// calls and their answers, and the records that a box stores in the log.
package work
