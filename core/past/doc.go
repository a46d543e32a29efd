// Package past finds out from a listing of a store's items how long ago an item that the listing lacks can last have been there.
package past
