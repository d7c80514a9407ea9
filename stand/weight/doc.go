// Package weight simulates the platform's store of model weights, which limits the rate of fetches.
package weight
