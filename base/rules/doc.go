// Package rules compiles and evaluates the operators' policy programs, which are written in CEL.
// They are type-checked and their cost is bounded. A place program that fails denies the use.
package rules
