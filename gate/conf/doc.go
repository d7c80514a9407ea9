// Package conf reads a box's settings from JSON. Each section of the file has its own type with
// defaults and checks. All problems are reported at once, each with its path in the file.
package conf
