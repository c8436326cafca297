package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustardmast/core/ledger"
	"mustardmast/core/requestid"
)

// unlimited has room for every record that a benchmark creates.
var unlimited = ledger.Limits{Records: 1 << 30, Bytes: 1 << 40, ResponseBytes: 16 << 10}

func BenchmarkBeginToDone(b *testing.B) {
	s, g := fixture(unlimited)
	var ids []requestid.ID
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%requestid.MaxRange == 0 {
			ids = s.Issue(start, requestid.MaxRange)
		}
		d, _ := g.Begin(start, requestOf(ids[i%requestid.MaxRange]))
		a, _, _ := g.RecordDispatch(start, d.Ticket, 9)
		g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200})
	}
}

func BenchmarkBeginOfResend(b *testing.B) {
	s, g := fixture(unlimited)
	q := requestOf(s.Issue(start, 1)[0])
	d, _ := g.Begin(start, q)
	a, _, _ := g.RecordDispatch(start, d.Ticket, 9)
	g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200, Body: make([]byte, 200)})
	b.ReportAllocs()
	for b.Loop() {
		if d, _ := g.Begin(start, q); d.Action != ledger.Replay {
			b.Fatal(d.Action)
		}
	}
}

// BenchmarkRecord reports the heap memory per record, without a response body.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{ledger.DefaultLimits.Records / 2, ledger.DefaultLimits.Records} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s, g := fixture(ledger.DefaultLimits)
				for g.Len() < n {
					for _, id := range s.Issue(start, min(n-g.Len(), requestid.MaxRange)) {
						d, _ := g.Begin(start, requestOf(id))
						a, _, _ := g.RecordDispatch(start, d.Ticket, 9)
						g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200})
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/record")
				runtime.KeepAlive(g)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
