// Package weight is a stand-in of the platform's rate-limited weight store.
package weight
