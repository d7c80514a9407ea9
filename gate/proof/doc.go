// Package proof holds the stateful fuzz of a whole fleet against a simple oracle. Its
// boxes are the real services; only sockets, engines and tools are replaced.
package proof
