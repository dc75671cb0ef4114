// The operator's file. Everything here is the default but what is commented out, so all that is new is off.
// `whintrail check deploy/whintrail.jsonnet --show` prints the settings in force with it.
{
  version: 1,
  logging: { format: 'line', burst: 5, per_second: 1 },
  // Work that may wait: its share of the loop's time, and the longest slice.
  background: { share: 0.05, slice_ms: 0.5, waiting: 256 },
  // What each engine went through; see docs/timeline.md.
  // timeline: {
  //   memory_mb: 8,
  //   raw_s: 300,
  //   watch: { slow_factor: 2.5, stalled_least_s: 1 },
  //   store: { directory: '/var/lib/whintrail/timeline', keep_mb: 512, keep_s: 7 * 86400 },
  //   socket: '/run/whintrail/timeline.sock',
  // },
  // Drains, restarts and releases on which the gateways agree; see docs/fleet.md.
  // fleet: {
  //   name: 'akl',
  //   council: [0, 1, 2],
  //   out: { gateways: 0.05, gateways_a_zone: 0.1, engines: 0.05, engines_a_zone: 0.2 },
  //   use_within_s: 1.5, proven_s: 3, quarantine_s: 4,
  //   messages_per_s: 400, bytes_per_s: 40000,
  //   socket: '/run/whintrail/fleet.sock',
  // },

  // Each gateway keeps a part of the engines (docs/subset.md); absent: all of them.
  // subset: {
  //   size: 80, least_holders: 8, least_stratum: 4, batch_ms: 500,
  //   regions: [{ zones: ['z1', 'z2'], first: 0, last: 443 }, { zones: ['z3'], first: 444, last: 887 }],
  // },
}
