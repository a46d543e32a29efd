package plat

import (
	"cmp"
	"time"
)

func (t Times) wait() time.Duration         { return cmp.Or(t.Wait, DefaultWait) }
func (t Times) listPeriod() time.Duration   { return cmp.Or(t.ListPeriod, DefaultListPeriod) }
func (t Times) slowPeriod() time.Duration   { return cmp.Or(t.SlowPeriod, DefaultSlowPeriod) }
func (t Times) rulesPeriod() time.Duration  { return cmp.Or(t.RulesPeriod, DefaultRulesPeriod) }
func (t Times) backoff() time.Duration      { return cmp.Or(t.Backoff, DefaultBackoff) }
func (t Times) backoffLimit() time.Duration { return cmp.Or(t.BackoffLimit, DefaultBackoffLimit) }
