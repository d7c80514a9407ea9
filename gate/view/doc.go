// Package view knows which boxes live. Each box joins the fleet again and again in the log,
// which takes out those that fall silent. The view steers; it never decides who may write.
package view
