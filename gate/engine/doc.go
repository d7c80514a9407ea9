// Package engine is the client of model engines: it polls their load and cache events, runs
// calls and resumes broken streams, and sends cache and model orders.
package engine
