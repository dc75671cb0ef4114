// Sizes in which each gateway keeps all engines, and the same with a subset of the engines:
//     whintrail scale sweep deploy/scale/subset.jsonnet --seconds 900 --memory-mb 5000 --to docs/capacity
// Each engine is kept by at least eight gateways, so a subset has at least 8 * engines / gateways engines.
local size(gateways, engines, part) = {
  name: 'g%d-e%d%s' % [gateways, engines, if part > 0 then '-subset' else '-whole'],
  gateways: gateways,
  engines: engines,
  subset: part,
  processes: 2,
  zones: 19,
  queries_per_s: std.min(100, std.max(2, 2 * engines / gateways)),
  messages_per_s: std.max(400, 8 * gateways),
  bytes_per_s: std.max(40000, 800 * gateways),
  join_s: 120,
  days: [{ act: 'steady', seconds: 10 }, { act: 'changes', seconds: 12, rate: 7.4 }],
};
local days = {
  days: [
    { act: 'machines', seconds: 60, count: 3 },
    { act: 'zone', seconds: 60 },
    { act: 'regions', seconds: 15 },
    { act: 'control', seconds: 10 },
  ],
};
{
  version: 1,
  sizes: [
    size(25, 160, 0),
    size(25, 160, 52),
    size(50, 240, 0),
    size(50, 240, 40),
    size(40, 160, 40) { name: 'days40-subset' } + days,
    size(24, 160, 54) { name: 'real8-subset', real: 8 },
  ],
}
