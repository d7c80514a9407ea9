// Package limit keeps overload from spreading: it provides an adaptive concurrency limit per
// target, a retry budget and the ejection of failing targets. All state is local to the box.
package limit
