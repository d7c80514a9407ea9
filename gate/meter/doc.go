// Package meter counts and times what a box does, with histograms per workspace and class.
package meter
