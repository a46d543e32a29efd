// Package check is the command that gives the fleet's verdict on a rule file.
package check
