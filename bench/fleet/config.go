package fleet

import (
	"context"

	"mulleingate.dev/base/logc"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/types"
)

// Publish publishes a configuration as the successor of the revision numbered base.
func (f *Fleet) Publish(ctx context.Context, base int64, cfg types.Config) (types.Revision, error) {
	log := logc.New(f.Platform.LogAddr, callTimeout)
	draft := revs.Draft{Base: base, Author: "bench", Config: cfg}
	return revs.Publish(ctx, log, f.Keys.Operator, revs.Keys(f.Keys.Public()), draft)
}

// Republish publishes the current configuration as a new revision and returns its number.
func (f *Fleet) Republish(ctx context.Context) (int64, error) {
	log := logc.New(f.Platform.LogAddr, callTimeout)
	state, _, err := revs.History(ctx, log, revs.Keys(f.Keys.Public()))
	if err != nil {
		return 0, err
	}
	rev, err := f.Publish(ctx, state.Current.Number, state.Current.Config)
	return rev.Number, err
}

// RevisionApplied reports whether every running box has applied the revision or a newer one. A running
// box that doesn't answer counts as one that has not.
func (f *Fleet) RevisionApplied(ctx context.Context, number int64) bool {
	for i := range f.boxes {
		if !f.Running(i) {
			continue
		}
		st, err := f.Status(ctx, i)
		if err != nil || st.Revision < number {
			return false
		}
	}
	return true
}
