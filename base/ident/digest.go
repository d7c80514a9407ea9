package ident

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest returns the SHA-256 hash of a caller's key or token, in hexadecimal. Boxes store keys
// only in this form.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
