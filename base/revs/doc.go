// Package revs computes the configuration in force from the configuration stream. A
// published revision is accepted if it is signed by an operator, is valid and is based on
// the current revision; the order of the log decides between concurrent publications.
package revs
