// Package admit decides which model call runs next and where. One event loop holds the
// queue, the limits and what is believed of the engines; everything else sends it messages.
package admit
