package parts

import (
	"hash/fnv"
	"time"

	"mulleingate.dev/base/wire"
	"mulleingate.dev/gate/admit"
	"mulleingate.dev/gate/engine"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/policy"
)

func init() {
	register("admit", func(env *Env) kernel.Part {
		return kernel.Part{Needs: []string{"policy", "meter", "member"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			set := env.Settings.Admit
			seed := fnv.New64a()
			_, _ = seed.Write([]byte(env.Self.Name))
			opts := admit.Options{
				Strategy: set.Strategy, Order: set.Order, MaxWait: time.Duration(set.MaxWait),
				Starve: time.Duration(set.Starve), Holds: set.Holds, Seed: seed.Sum64(),
			}
			queue := admit.New(env.Self.Zone, opts, k.Find("policy").(*policy.Store), k.Find("meter").(*meter.Meter), env.Logger)
			gossip(queue, k.Find("member").(*member.View))
			return queue, nil
		}}
	})
	register("engine", func(env *Env) kernel.Part {
		return kernel.Part{Needs: []string{"admit", "member", "meter"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			set := env.Settings.Engines
			timing := engine.Timing{PollInterval: time.Duration(set.Poll), IdlePollInterval: time.Duration(set.IdlePoll), SyncInterval: time.Duration(set.Sync), SubsetSize: set.Subset}
			return engine.New(env.Self.Name, env.Self.Zone, k.Find("admit").(*admit.Loop),
				k.Find("member").(*member.View), timing, k.Find("meter").(*meter.Meter), env.Logger), nil
		}}
	})
}

// gossip tells other boxes what is under way here and which engines leave, and hears
// the same of them.
func gossip(queue *admit.Loop, view *member.View) {
	view.Announce(func(beat *wire.BeatRequest) {
		for name, streams := range queue.Mine() {
			if streams > 0 {
				beat.Sent = append(beat.Sent, &wire.Sent{Target: name, Streams: int64(streams)})
			}
		}
		beat.LeavingTargets = append(beat.LeavingTargets, queue.Leaving()...)
	})
	view.Listen(func(beat *wire.BeatRequest) {
		streams := map[string]int{}
		for _, s := range beat.GetSent() {
			streams[s.GetTarget()] = int(s.GetStreams())
		}
		queue.Tell(lease.RemoteStreams{Box: beat.GetBox(), Streams: streams})
		for _, name := range beat.GetLeavingTargets() {
			queue.Tell(lease.Leaving{Name: name})
		}
	})
}
