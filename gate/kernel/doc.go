// Package kernel starts and stops the services of a box in dependency order. Services find
// one another by name and use small interfaces that the user declares.
package kernel
