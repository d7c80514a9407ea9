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
		t.Errorf("limit of a crowded target (-want +got):\n%s", diff)
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
			t.Errorf("%d retries for 1000 calls", allowed)
		}
		time.Sleep(3 * time.Second)
		got := 0
		for r.Allow() {
			got++
		}
		if diff := cmp.Diff(3, got); diff != "" {
			t.Errorf("retries after three seconds without calls (-want +got):\n%s", diff)
		}
	})
}

func TestEjectorNeverTakesMoreThanHalf(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEjector()
	names := []string{"a", "b", "c", "d", "e"}
	for range 10 {
		for _, name := range names {
			e.Failure(now, name, len(names))
		}
	}
	if diff := cmp.Diff(2, e.EjectedCount(now)); diff != "" {
		t.Errorf("ejected of five (-want +got):\n%s", diff)
	}
	if e.Ejected(now.Add(time.Hour), "a") {
		t.Error("still ejected an hour later")
	}
}
