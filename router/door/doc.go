// Package door is where callers' connections come in: it accepts them, and at a
// planned stop it closes without cutting a request that is on its way.
package door
