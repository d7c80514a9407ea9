// Package parts puts a box together: one file a service, each registered by name with
// what it needs. Only this package knows all services.
package parts
