// Package conf holds the newest accepted rule file and finds newer versions at
// peers. The version in force never decreases, and a file is accepted or
// refused as a whole.
package conf
