// Package logc is the client of the platform's append-only log service.
package logc
