// Package parts assembles a box from its services. Each service is registered by name with the
// names of the services that it depends on. No other package refers to all services.
package parts
