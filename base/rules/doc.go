// Package rules compiles and runs the operators' policy programs, written in CEL.
// They are type-checked and bounded in cost. A failing place program means no.
package rules
