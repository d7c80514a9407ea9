// Package admin serves operators on an address of its own: health, figures, status and
// the reasons for decisions. It never shows content and never steers a request.
package admin
