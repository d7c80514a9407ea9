// Package policy keeps the published configuration in force: it folds the configuration
// stream, fetches from boxes that are ahead, and never goes back.
package policy
