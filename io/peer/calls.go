package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"radishwell/wire"
)

// Sync exchanges replica digests and soft state with a process, and returns the changes
// that this process lacks.
func (c *Client) Sync(ctx context.Context, to Target, in *wire.SyncCall) (*wire.SyncReply, error) {
	return callRepeatable[wire.SyncReply](ctx, c, to, "Sync", in)
}

// Fetch downloads a part of a payload from a process.
func (c *Client) Fetch(ctx context.Context, to Target, in *wire.FetchCall) (*wire.FetchReply, error) {
	return callRepeatable[wire.FetchReply](ctx, c, to, "Fetch", in)
}

// Probe asks an agent for its load.
func (c *Client) Probe(ctx context.Context, to Target, in *wire.ProbeCall) (*wire.HostLoad, error) {
	return call[wire.HostLoad](ctx, c, to, "Probe", in)
}

// Slot asks the decider for a slot, which permits a read from the weight store.
func (c *Client) Slot(ctx context.Context, to Target, in *wire.SlotCall) (*wire.SlotReply, error) {
	return call[wire.SlotReply](ctx, c, to, "Slot", in)
}

// Claim asks an entry to record a claim.
func (c *Client) Claim(ctx context.Context, to Target, in *wire.ClaimCall) (*wire.ClaimReply, error) {
	return call[wire.ClaimReply](ctx, c, to, "Claim", in)
}

// Seal asks an agent for the state of an attempt, and has the agent refuse the attempt if
// it has not arrived yet.
func (c *Client) Seal(ctx context.Context, to Target, in *wire.SealCall) (*wire.SealReply, error) {
	return call[wire.SealReply](ctx, c, to, "Seal", in)
}

// Explain asks a process for the reasons of its decisions, on behalf of an operator.
func (c *Client) Explain(ctx context.Context, to Target, in *wire.ExplainCall) (*wire.ExplainReply, error) {
	return call[wire.ExplainReply](ctx, c, to, "Explain", in)
}

// Demand reports an entry's demand to the decider.
func (c *Client) Demand(ctx context.Context, to Target, in *wire.DemandCall) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, to, "Demand", in)
}

// Upstream polls an agent for the state of its upstream.
func (c *Client) Upstream(ctx context.Context, to Target, in *wire.UpstreamCall) (*wire.UpstreamReply, error) {
	return call[wire.UpstreamReply](ctx, c, to, "Upstream", in)
}

// Goal sends an agent the goal for its upstream: the models that it should hold.
func (c *Client) Goal(ctx context.Context, to Target, in *wire.GoalCall) (*wire.GoalReply, error) {
	return call[wire.GoalReply](ctx, c, to, "Goal", in)
}

// Room asks an agent for a credit for the time of its upstream.
func (c *Client) Room(ctx context.Context, to Target, in *wire.RoomCall) (*wire.RoomReply, error) {
	return call[wire.RoomReply](ctx, c, to, "Room", in)
}

// Count asks another entry to count this one among those that share a number of the whole fleet.
func (c *Client) Count(ctx context.Context, to Target, in *wire.CountCall) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, to, "Count", in)
}

// Lend asks another entry for retries from its part of a service's retry budget.
func (c *Client) Lend(ctx context.Context, to Target, in *wire.LendCall) (*wire.LendReply, error) {
	return call[wire.LendReply](ctx, c, to, "Lend", in)
}

// Trial asks the entry that grants trials for one, or reports the end of one.
func (c *Client) Trial(ctx context.Context, to Target, in *wire.TrialCall) (*wire.TrialReply, error) {
	return call[wire.TrialReply](ctx, c, to, "Trial", in)
}

// Adapter asks an agent to load an adapter.
func (c *Client) Adapter(ctx context.Context, to Target, in *wire.AdapterCall) (*wire.AdapterReply, error) {
	return call[wire.AdapterReply](ctx, c, to, "Adapter", in)
}

// Plan reports the demand for models to the planner, which is the entry that places
// models.
func (c *Client) Plan(ctx context.Context, to Target, in *wire.PlanCall) (*wire.PlanReply, error) {
	return call[wire.PlanReply](ctx, c, to, "Plan", in)
}

// Digest polls a relay for the state of the upstream hosts that it knows.
func (c *Client) Digest(ctx context.Context, to Target, in *wire.DigestCall) (*wire.DigestReply, error) {
	return call[wire.DigestReply](ctx, c, to, "Digest", in)
}

// Allow reports the use of customers' allowances to the keeper, which is the entry that
// counts that use, and requests further units.
func (c *Client) Allow(ctx context.Context, to Target, in *wire.AllowanceCall) (*wire.AllowanceReply, error) {
	return call[wire.AllowanceReply](ctx, c, to, "Allow", in)
}

// Keep sends records of where streams began to an entry that is to hold copies.
func (c *Client) Keep(ctx context.Context, to Target, in *wire.KeepCall) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, to, "Keep", in)
}

// Find asks an entry where a stream began.
func (c *Client) Find(ctx context.Context, to Target, in *wire.FindCall) (*wire.FindReply, error) {
	return call[wire.FindReply](ctx, c, to, "Find", in)
}

// Ping checks that a process responds to calls.
func (c *Client) Ping(ctx context.Context, to Target) error {
	_, err := call[wire.Empty](ctx, c, to, "Ping", &wire.Empty{})
	return err
}

// copyReply copies a reply into the message that net/rpc has allocated for it.
func copyReply(out, reply any) {
	proto.Merge(out.(proto.Message), reply.(proto.Message))
}
