// Package main is loader, a load and experiment tool for mangolug on one machine.
package main
