// Package mirror lets a few boxes of each availability zone, the sources, read from the log what every box
// needs: the operators' settings, the list of replicas and the members of the fleet. The other boxes ask the
// sources, which send them only the replicas of their own part (package subset). In a small zone, or when no
// source answers in time, a box reads from the log itself.
//
// A source's answer is as old as its own last read of the log. The age is passed on with the data, so that the
// limits of package access on the age hold whether or not a source is used. A source whose copy is too old
// refuses to answer.
package mirror
