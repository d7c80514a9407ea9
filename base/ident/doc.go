// Package ident names slots, programs and attempts.
package ident
