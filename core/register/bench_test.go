package register_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mustardmast/core/register"
	"mustardmast/core/requestid"
)

func BenchmarkStartAndFinish(b *testing.B) {
	s, r := fixture(register.Limits{Records: 1 << 30, Owners: 1})
	var ids []requestid.ID
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%requestid.MaxRange == 0 {
			ids = s.Issue(start, requestid.MaxRange)
		}
		a := attempt(ids[i%requestid.MaxRange], 1)
		if err := r.Start(start, a, time.Time{}); err != nil {
			b.Fatal(err)
		}
		r.Finish(start, a)
	}
}

// BenchmarkRecord reports the heap memory per record.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{register.DefaultLimits.Records / 2, register.DefaultLimits.Records * 7 / 8} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s, r := fixture(register.DefaultLimits)
				for r.Len() < n {
					for _, id := range s.Issue(start, min(n-r.Len(), requestid.MaxRange)) {
						if err := r.Start(start, attempt(id, 1), time.Time{}); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/record")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
