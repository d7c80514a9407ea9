// Package kernel starts and stops the services of a box in dependency order. Services find
// one another by name and use them through small interfaces that the using package declares.
package kernel
