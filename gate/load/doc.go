// Package load finds out how busy model replicas are. One box of an availability zone asks
// each replica there and tells the others, so that the questions stay few.
package load
