// Package main is mangoctl, the command-line tool for operators of mangolug.
package main
