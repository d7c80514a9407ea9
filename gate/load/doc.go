// Package load collects the load of model replicas. One box of an availability zone polls each
// replica and forwards the result to the others, which limits the number of polls. The boxes also
// exchange the demand for shared prompt prefixes. Lost messages only make what a box knows older.
package load
