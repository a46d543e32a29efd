// Package chart draws bars for pages.
package chart
