// Package meter counts and times what a box does, with histograms per tenant and class.
package meter
