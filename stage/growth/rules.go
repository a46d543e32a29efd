package growth

import (
	"fmt"
	"strings"

	"mangolug.org/core/conf"
	"mangolug.org/core/rule"
)

// ruleText gives a rule file with some teams and engines.
func ruleText(teams, engines int) []byte {
	var b strings.Builder
	b.WriteString("dataCentre killary in # asked by operations\nproduct mangolug-pool model # asked by operations\n")
	for i := range engines {
		fmt.Fprintf(&b, "server engine-%d product mangolug-pool dataCentre killary address 10.0.%d.%d:9000 limit 16 # asked by operations\n", i, i/250, i%250)
	}
	for i := range teams {
		fmt.Fprintf(&b, "team %s share %d key sha256:%064x # asked by farm %d\n", teamName(i), 1+i%100, i+1, i)
	}
	return []byte(b.String())
}

// Rules measures reading of the rule file at every router.
func Rules() []Series {
	const role = "reader and relay of the configuration"
	const fixed = "13 engines"
	sizes := []int{1000, 5000, 20000, 49000}
	return []Series{
		vary(Series{Role: role, Quantity: "bytes of the rule file", Factor: "teams known", Fixed: fixed}, sizes, func(n int) float64 {
			return float64(len(ruleText(n, 13)))
		}),
		vary(Series{Role: role, Quantity: "ns to read a change", Factor: "teams known", Fixed: fixed}, sizes, func(n int) float64 {
			t := ruleText(n, 13)
			return nanos(1, func(int) { _, _ = rule.Parse(t) })
		}),
		vary(Series{Role: role, Quantity: "heap bytes", Factor: "teams known", Fixed: fixed}, sizes, func(n int) float64 {
			t := ruleText(n, 13)
			return heap(func() held {
				f, _ := rule.Parse(t)
				return held{file: f}
			})
		}),
		vary(Series{Role: role, Quantity: "heap bytes in force, with text and indexes", Factor: "teams known", Fixed: fixed + ", up to the largest text allowed"},
			[]int{500, 2000, 4000, 8000}, func(n int) float64 {
				return heap(func() held {
					k := &conf.Keeper{}
					k.Offer(0, 1, ruleText(n, 13), "platform")
					return held{conf: k}
				})
			}),
	}
}
