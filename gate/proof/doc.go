// Package proof fuzzes a whole fleet with random operations and faults and checks it against a simple
// oracle. The boxes run the real services; the network, the log, engines and tools are fakes.
package proof
