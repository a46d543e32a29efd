package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures the admission decision on one request.
func BenchmarkAdmit(b *testing.B) {
	for _, servers := range []int{9, 140, 246, 3200} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			p := newPool(servers)
			i := 0
			for b.Loop() {
				i++
				now := time.Duration(i) * time.Millisecond
				v, decided := p.Admit(now, chatRequest(now, i, uint64(i%500)))
				if decided && v.Run != nil {
					p.Ended(now, v.Run, Result{})
				}
			}
		})
	}
}
