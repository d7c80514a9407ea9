// Package pool keeps enough replicas of each model warm and brings them to the wanted
// version. Orders of a pool come from the owner of its slot, with the epoch as fencing
// number; what engines really serve is read back before every order.
package pool
