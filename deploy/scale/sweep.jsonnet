// Sizes for `whintrail scale sweep deploy/scale/sweep.jsonnet --seconds 3600 --memory-mb 6000 --to docs/capacity`, smallest
// first; a single one: `whintrail scale run deploy/scale/sweep.jsonnet --size g100-e80`. One core can run about 60 hollow
// gateways with 80 engines; a size that overloads the machine shows high loop_stall_ms and lost_share.
local steady = { act: 'steady', seconds: 8 };
local changes = { act: 'changes', seconds: 12, rate: 7.4 };  // ten times 64,000 a day
local size(gateways, engines, more={}) = {
  name: 'g%d-e%d' % [gateways, engines],
  gateways: gateways,
  engines: engines,
  processes: 2,
  // A gateway sends at most as many probes as it has queries; with this rate the fleet probes each engine every 0.6 s.
  queries_per_s: std.min(100, std.max(2, 2 * engines / gateways)),
  zones: 19,
  // The leader answers each member's lease request 2.5 times a second, at any size of the fleet.
  messages_per_s: std.max(400, 8 * gateways),
  bytes_per_s: std.max(40000, 800 * gateways),
  join_s: 120,
  days: [steady, changes],
} + more;
local alone = { memos: false, queries_per_s: 0 };
local days = {
  days: [
    { act: 'restarts', seconds: 30, count: 3 },
    { act: 'machines', seconds: 60, count: 5 },
    { act: 'zone', seconds: 60 },
    { act: 'regions', seconds: 20 },
    { act: 'control', seconds: 10 },
  ],
};
{
  version: 1,
  sizes: [
    size(12, 40),
    size(12, 80),
    size(25, 80),
    size(50, 80),
    size(12, 160),
    // Membership and versions alone: no probe reports, and no queries, so no probes.
    size(50, 80, { name: 'm50' } + alone),
    size(100, 80, { name: 'm100' } + alone),
    size(200, 80, { name: 'm200' } + alone),
    // The list alone, without probe reports and with few queries. With them, each gateway would get a report on each
    // engine every 0.6 s and scan all engines for it, at most once per query: a cost that grows with their square.
    size(12, 500, { memos: false, queries_per_s: 1 }),
    size(12, 2000, { memos: false, queries_per_s: 1 }),
    size(4, 15000, { memos: false, queries_per_s: 0, split: 8, processes: 1 }),
    size(40, 80, { name: 'real8', real: 8, load_per_s: 50 }),
    size(60, 80, { name: 'days60', queries_per_s: 2 } + days),
  ],
}
