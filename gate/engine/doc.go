// Package engine is the client of model engines: it polls their load and cache events, runs
// calls, resumes broken streams, and sends orders to change their caches and models.
package engine
