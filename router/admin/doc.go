// Package admin serves health, readiness, metrics and explanations to
// operators and scrapers.
package admin
