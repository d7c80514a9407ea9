// Package conn loads mgctl's settings: the addresses of the log and of the boxes, and the keys.
package conn
