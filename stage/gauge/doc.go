// Package gauge is the command that measures fairness, utilisation, waiting
// and control traffic, with baselines in the same run.
package gauge
