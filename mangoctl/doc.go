// Package main is mangoctl, the operators' command line of mangolug.
package main
