// Package serve runs HTTP servers over listeners of their own and stops them.
package serve
