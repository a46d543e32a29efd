// Package growth measures what the decision core spends as one factor grows at
// a time, and fits a line through the points.
package growth
