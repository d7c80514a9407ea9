// Package lease holds the messages between the queue of model calls and its users.
package lease
