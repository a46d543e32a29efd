// Package demo is the command that shows mangolug at work on this machine.
package demo
