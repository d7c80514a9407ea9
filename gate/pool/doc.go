// Package pool keeps enough replicas of each model loaded and updates them to the configured version. The
// orders for a model come from the box that owns the model's slot, with the slot's epoch as fencing token.
// Before every order the engines are asked what they serve.
package pool
