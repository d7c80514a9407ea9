// Package engine talks to model engines: it polls their load and cache events, runs and
// resumes streams, and gives cache and model orders.
package engine
