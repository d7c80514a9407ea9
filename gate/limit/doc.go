// Package limit holds the bounds that keep overload from spreading: adaptive concurrency
// per target, a retry budget, and ejection of failing targets. None of it talks to
// other boxes.
package limit
