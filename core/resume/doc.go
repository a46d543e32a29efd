// Package resume finds out at which software version of its servers a caller's stream began, so that it goes on at no other, also when the
// caller comes back to a router that didn't begin it.
package resume
