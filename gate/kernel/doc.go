// Package kernel starts, stops and names the services of a box. Services find one
// another by name and use small interfaces that the user declares.
package kernel
