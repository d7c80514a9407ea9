// Package revs folds the configuration stream: published revisions are accepted by
// compare-and-set on the revision before, in the order of the log.
package revs
