// Package steps measures what a router of a running fleet spends as one factor
// grows at a time: routers, requests a second, tokens a second.
package steps
