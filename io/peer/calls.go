package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"radishwell/wire"
)

// Sync exchanges replicas with a process.
func (c *Client) Sync(ctx context.Context, to Target, in *wire.SyncCall) (*wire.SyncReply, error) {
	return call[wire.SyncReply](ctx, c, to, "Sync", in)
}

// Fetch asks a process for a part of a payload.
func (c *Client) Fetch(ctx context.Context, to Target, in *wire.FetchCall) (*wire.FetchReply, error) {
	return call[wire.FetchReply](ctx, c, to, "Fetch", in)
}

// Probe asks an agent for its load.
func (c *Client) Probe(ctx context.Context, to Target, in *wire.ProbeCall) (*wire.HostLoad, error) {
	return call[wire.HostLoad](ctx, c, to, "Probe", in)
}

// Slot asks the decider for leave to read from the weight store.
func (c *Client) Slot(ctx context.Context, to Target, in *wire.SlotCall) (*wire.SlotReply, error) {
	return call[wire.SlotReply](ctx, c, to, "Slot", in)
}

// Claim asks an entry to record a claim.
func (c *Client) Claim(ctx context.Context, to Target, in *wire.ClaimCall) (*wire.ClaimReply, error) {
	return call[wire.ClaimReply](ctx, c, to, "Claim", in)
}

// Seal asks an agent what became of an attempt.
func (c *Client) Seal(ctx context.Context, to Target, in *wire.SealCall) (*wire.SealReply, error) {
	return call[wire.SealReply](ctx, c, to, "Seal", in)
}

// Explain asks a process why.
func (c *Client) Explain(ctx context.Context, to Target, in *wire.ExplainCall) (*wire.ExplainReply, error) {
	return call[wire.ExplainReply](ctx, c, to, "Explain", in)
}

// Demand tells the decider an entry's demand.
func (c *Client) Demand(ctx context.Context, to Target, in *wire.DemandCall) (*wire.Empty, error) {
	return call[wire.Empty](ctx, c, to, "Demand", in)
}

// Upstream asks an agent how its upstream stands.
func (c *Client) Upstream(ctx context.Context, to Target, in *wire.UpstreamCall) (*wire.UpstreamReply, error) {
	return call[wire.UpstreamReply](ctx, c, to, "Upstream", in)
}

// Goal tells an agent what its upstream should hold.
func (c *Client) Goal(ctx context.Context, to Target, in *wire.GoalCall) (*wire.GoalReply, error) {
	return call[wire.GoalReply](ctx, c, to, "Goal", in)
}

// Adapter asks an agent to have an adapter loaded.
func (c *Client) Adapter(ctx context.Context, to Target, in *wire.AdapterCall) (*wire.AdapterReply, error) {
	return call[wire.AdapterReply](ctx, c, to, "Adapter", in)
}

// Plan tells the entry that plans what models are asked for.
func (c *Client) Plan(ctx context.Context, to Target, in *wire.PlanCall) (*wire.PlanReply, error) {
	return call[wire.PlanReply](ctx, c, to, "Plan", in)
}

// Digest asks a relay for the hosts that it knows.
func (c *Client) Digest(ctx context.Context, to Target, in *wire.DigestCall) (*wire.DigestReply, error) {
	return call[wire.DigestReply](ctx, c, to, "Digest", in)
}

// Allow asks the entry that counts customers' use.
func (c *Client) Allow(ctx context.Context, to Target, in *wire.AllowanceCall) (*wire.AllowanceReply, error) {
	return call[wire.AllowanceReply](ctx, c, to, "Allow", in)
}

// Ping asks a process for a sign of life.
func (c *Client) Ping(ctx context.Context, to Target) error {
	_, err := call[wire.Empty](ctx, c, to, "Ping", &wire.Empty{})
	return err
}

// merge copies a reply into the message that net/rpc has made for it.
func merge(out, reply any) {
	proto.Merge(out.(proto.Message), reply.(proto.Message))
}
