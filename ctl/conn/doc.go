// Package conn holds where mgctl finds the log, the boxes and the keys.
package conn
