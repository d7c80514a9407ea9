// Package conf reads a box's settings: JSON with one file of code per section, each with
// its defaults and checks. All that is wrong is reported at once, each with its path.
package conf
