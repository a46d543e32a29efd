// Package limit learns how many concurrent requests one backend server can run,
// under its configured ceiling, and sets a failing server aside for a while.
package limit
