// Package status is the command that shows the fleet as its routers see it.
package status
