// Package status implements "mangoctl status", which shows the fleet as its routers see it.
package status
