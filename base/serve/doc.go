// Package serve runs HTTP servers in the background and shuts them down gracefully.
package serve
