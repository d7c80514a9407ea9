// Package drain holds the schedule of a planned stop of a box, and decides which calls a stopping box still takes.
package drain
