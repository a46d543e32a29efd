// Package compl implements "mangoctl completion", which writes completion scripts for shells.
package compl
