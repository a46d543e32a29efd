// Package admin is a client for the admin interface of routers.
package admin
