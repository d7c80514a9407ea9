// Package seal encrypts tokens and log content with rotating keys. Content is bound to
// its workspace by a derived key and to its place by additional data.
package seal
