// Package fixed gives rapid's fuzz tests a fixed seed unless the command line names one,
// so that CI comes to the same verdict each time.
package fixed
