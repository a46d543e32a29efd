// Package check implements "mangoctl check", which validates a rule file as the fleet's routers would.
package check
