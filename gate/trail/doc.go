// Package trail keeps a bounded record of decisions, so that operators can ask why. It
// holds no content and survives nothing.
package trail
