// Package conf keeps the newest accepted rule file in force: versions only
// rise, and a file is accepted or refused whole.
package conf
