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
	register("admit", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"policy", "meter", "member"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			settings := env.Settings.Admit
			seed := fnv.New64a()
			_, _ = seed.Write([]byte(env.Self.Name))
			opts := admit.Options{
				Strategy: settings.Strategy, Order: settings.Order, MaxWait: time.Duration(settings.MaxWait),
				StarvationAge: time.Duration(settings.StarvationAge), HoldCaches: settings.HoldCaches, Seed: seed.Sum64(),
			}
			queue := admit.New(env.Self.Zone, opts, k.Find("policy").(*policy.Store), k.Find("meter").(*meter.Meter), env.Logger)
			exchangeEngineState(queue, k.Find("member").(*member.View))
			return queue, nil
		}}
	})
	register("engine", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"admit", "member", "meter"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			settings := env.Settings.Engines
			timing := engine.Timing{PollInterval: time.Duration(settings.PollInterval), IdlePollInterval: time.Duration(settings.IdlePollInterval), SyncInterval: time.Duration(settings.SyncInterval), SubsetSize: settings.SubsetSize}
			return engine.New(env.Self.Name, env.Self.Zone, k.Find("admit").(*admit.Scheduler),
				k.Find("member").(*member.View), timing, k.Find("meter").(*meter.Meter), env.Logger), nil
		}}
	})
}

// exchangeEngineState adds to heartbeats the number of this box's streams in flight at each
// engine and the engines that are leaving, and passes what other boxes report to the queue.
func exchangeEngineState(queue *admit.Scheduler, view *member.View) {
	view.AddToHeartbeat(func(beat *wire.BeatRequest) {
		for name, streams := range queue.InFlight() {
			if streams > 0 {
				beat.Sent = append(beat.Sent, &wire.Sent{Target: name, Streams: int64(streams)})
			}
		}
		beat.LeavingTargets = append(beat.LeavingTargets, queue.LeavingEngines()...)
	})
	view.OnHeartbeat(func(beat *wire.BeatRequest) {
		streams := map[string]int{}
		for _, s := range beat.GetSent() {
			streams[s.GetTarget()] = int(s.GetStreams())
		}
		queue.Notify(lease.RemoteStreams{Box: beat.GetBox(), Streams: streams})
		for _, name := range beat.GetLeavingTargets() {
			queue.Notify(lease.EngineLeaving{Name: name})
		}
	})
}
