package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestAdaptiveStaysInBounds(t *testing.T) {
	a := NewAdaptive(4, 1, 8)
	for range 1000 {
		a.Success()
	}
	if diff := cmp.Diff(8, a.Limit()); diff != "" {
		t.Errorf("limit after good calls (-want +got):\n%s", diff)
	}
	for range 1000 {
		a.Overloaded()
	}
	if diff := cmp.Diff(1, a.Limit()); diff != "" {
		t.Errorf("limit after overload (-want +got):\n%s", diff)
	}
}

func TestRetriesAreAShareOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRetryBudget(0.1, 1, 5)
		allowed := 0
		for range 1000 {
			r.RecordCall()
			if r.Allow() {
				allowed++
			}
		}
		if allowed < 100 || allowed > 105 {
			t.Errorf("%d retries for 1000 calls, want 100 to 105", allowed)
		}
		time.Sleep(3 * time.Second)
		remaining := 0
		for r.Allow() {
			remaining++
		}
		if diff := cmp.Diff(3, remaining); diff != "" {
			t.Errorf("retries after three seconds without calls (-want +got):\n%s", diff)
		}
	})
}

func TestEjectorNeverEjectsMoreThanHalf(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEjector()
	names := []string{"a", "b", "c", "d", "e"}
	for range 10 {
		for _, name := range names {
			e.Failure(now, name, len(names))
		}
	}
	if diff := cmp.Diff(2, e.EjectedCount(now)); diff != "" {
		t.Errorf("number of ejected targets of five (-want +got):\n%s", diff)
	}
	if e.Ejected(now.Add(time.Hour), "a") {
		t.Error("target is still ejected an hour later")
	}
}

// TestEjectedTargetIsEjectedAgain checks that a target which fails while it is ejected, as the last resort, is
// ejected for longer, and that the limit of half of the pool still holds for others. The target itself was counted
// twice against that limit.
func TestEjectedTargetIsEjectedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	for _, poolSize := range []int{2, 3, 4} {
		e := NewEjector()
		for range failuresToEject {
			e.Failure(now, "a", poolSize)
		}
		if !e.Failure(now, "a", poolSize) || !e.Ejected(now.Add(minEjection), "a") {
			t.Errorf("pool of %d: the ejection was not extended", poolSize)
		}
		ejected := false
		for range failuresToEject {
			ejected = e.Failure(now, "b", poolSize)
		}
		if want := poolSize >= 4; ejected != want {
			t.Errorf("pool of %d: second target ejected %v, want %v", poolSize, ejected, want)
		}
	}
}
