// Package admin serves health, readiness, metrics, status and explanations of
// requests and teams over HTTP.
package admin
