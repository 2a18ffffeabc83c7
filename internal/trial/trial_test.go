package trial

import (
	"testing"
	"time"
)

// TestRepeatable guards against figures that cannot be reproduced: two runs with
// the same seed must give the same result.
func TestRepeatable(t *testing.T) {
	for _, v := range []Version{Product, Naive, Ideal} {
		first, second := Run(Clusters[1], Scenarios[2], v, 7, 4*time.Minute), Run(Clusters[1], Scenarios[2], v, 7, 4*time.Minute)
		if first != second {
			t.Errorf("%v: got %+v, then %+v", v, first, second)
		}
	}
}

// TestNaiveIsWorse guards against a trial that does not show the effect of the
// policies: the product must finish more and interfere less than the naive
// version, which keeps assigning tasks to the failing worker.
func TestNaiveIsWorse(t *testing.T) {
	product, naive := Run(Clusters[1], Scenarios[4], Product, 1, 6*time.Minute), Run(Clusters[1], Scenarios[4], Naive, 1, 6*time.Minute)
	if product.Finished <= naive.Finished || product.Failures*10 > naive.Failures || product.P99/product.QuietP99 >= naive.P99/naive.QuietP99 {
		t.Errorf("got product %+v, naive %+v", product, naive)
	}
}
