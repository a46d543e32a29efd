// Desk stands in for a plain service, some of whose calls must not be repeated.
package main
