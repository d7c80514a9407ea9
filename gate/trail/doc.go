// Package trail keeps the latest decisions of a box in memory, so that operators can look up why something
// happened. It stores no content of calls, and is lost when the process ends.
package trail
