package throster_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
)

// BenchmarkExchange is what one question costs both sides together, without
// the encoding.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{40, 115, 230, 460} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ids := make([]string, size)
			for i := range ids {
				ids[i] = fmt.Sprintf("vm-%03d", i)
			}
			f := newFleet(ids...)
			f.ask(ids[1], ids...)
			b.ResetTimer()
			for b.Loop() {
				f.now += 100 * time.Millisecond
				sent := thclock.At(f.now)
				f.nodes[ids[0]].Answered(sent, f.nodes[ids[1]].Answer(sent, f.nodes[ids[0]].Ask()))
			}
		})
	}
}
