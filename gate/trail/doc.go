// Package trail keeps the latest trace events of a box in memory, so that operators can look up why it made a
// decision. It stores no content of calls, and is lost when the process ends.
package trail
