// Package drive runs a plan against routers on this machine.
package drive
