// Package seal encrypts continuation tokens and log content with rotating data keys, using
// AES-256-GCM. The key is derived (HKDF) from a data key and the workspace's name. The place where
// the content is used, such as the program of a turn, is authenticated as additional data.
package seal
