// Package admin asks routers on their admin addresses.
package admin
