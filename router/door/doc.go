// Package door accepts the connections of callers. At a planned stop it closes
// without cutting off a request that is already on its way.
package door
