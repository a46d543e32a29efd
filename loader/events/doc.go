// Package events reads server-sent events of model answers.
package events
