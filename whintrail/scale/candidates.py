"""Mechanisms that don't exist yet, and which rows of the capacity model each would resolve or ease. Pure."""

from whintrail.scale.capacity import Candidate

SUBSET = Candidate(
    "a subset of engines",
    {
        "choose_cpu": "weights and their sums cover the subset only",
        "refresh_stand": "`_refresh_weights` goes through the subset only",
        "delta_stand": "only changes of engines in the subset, or of their replacements, reach the module",
        "links": "links go to engines of the subset only",
        "refresh_cpu": "`_refresh_weights` goes through the subset only",
        "sweep_cpu": "sweeps go through the subset only",
        "delta_cpu": "events of engines outside the subset don't reach the module",
        "memo_cpu": "probe reports go to the holders of the engine, not to all gateways",
        "cpu_sum": "these are its largest terms",
        "hollow_cpu": "the same terms, measured",
        "memo_bytes": "probe reports go to the holders of the engine, not to all gateways",
        "bytes_sum": "nearly all of it is probe reports",
        "module_memory": "it holds the state of the subset only",
        "memory_sum": "the module's share is smaller",
    },
    {
        "whole_list_stand": "the module's half only; the line is still read in full",
    },
    "rendezvous hashing (Thaler, Ravishankar 1998); subsetting (Beyer et al., "
    "Site Reliability Engineering, 2016, ch. 20)",
)
TIER = Candidate(
    "a control tier in regions",
    {
        "whole_list_stand": "a list comes in numbered pieces, each of which is read quickly",
        "delta_bytes": "batches: one header for several changes",
        "told_bytes": "sent once per region with a sequence number; only missed entries are requested again",
        "list_line": "no line holds a full list",
        "version_in_force": "leases are granted in the region; one batch per fraction of a second",
        "versions_queue": "a batch is one version, with any number of changes",
        "leader_cpu": "lease requests end at the regions' leaders",
        "leader_bytes": "lease requests end at the regions' leaders",
        "lease_cpu": "lease requests end at the regions' leaders; only nine go to the root",
        "leader_node": "members that are out are aggregated in the region, and lease requests end there",
        "bulletin_lists": "26 machines read it and forward it",
        "bulletin_changes": "26 machines read them and forward them",
        "list_apply": "one batch per fraction of a second, at any rate of changes",
    },
    {},
    "control planes pushing numbered deltas (Envoy's incremental xDS); leases (Gray, Cheriton 1989); "
    "hierarchies of cells (Burrows: Chubby, 2006)",
)
GROUPS = Candidate(
    "membership and reports in groups",
    {
        "member_cpu": "a member's table covers its group, not the fleet",
        "node_cpu": "its largest term is membership",
        "member_bytes": "updates of other groups are not received",
        "node_memory": "the table covers the group only",
    },
    {
        "cpu_sum": "the node's term only; the module's is larger",
    },
    "SWIM (Das, Gupta, Motivala 2002) in a hierarchy of domains (van Renesse et al.: Astrolabe, 2003)",
)
TREE = Candidate(
    "a tree over the gateways",
    {
        "leader_bytes": "a parent forwards to its children and aggregates their reports",
        "bulletin_lists": "the root's children read it and forward it",
    },
    {
        "leader_cpu": "a parent forwards to its children and aggregates their reports",
        "lease_cpu": "lease requests are aggregated, at the cost of one hop of delay per level",
    },
    "trees with repair by gossip (Leitao, Pereira, Rodrigues: Plumtree, 2007)",
)
INCREMENTAL = Candidate(
    "the module's sums kept step by step",
    {
        "choose_cpu": "a tree of sums: a weight changes in logarithmic time",
        "delta_stand": "tables are updated in place, not rebuilt",
        "delta_cpu": "tables are updated in place, not rebuilt",
    },
    {
        "refresh_stand": "weights are refreshed for a few engines at a time",
        "refresh_cpu": "the same work, spread out; engines without new reports need none",
        "cpu_sum": "probe reports remain",
    },
    "a tree of sums (Fenwick: A New Data Structure for Cumulative Frequency Tables, 1994)",
)
PROCESSES = Candidate(
    "several processes a gateway",
    {"statement_cpu": "each handles its share of the statements (SO_REUSEPORT)"},
    {},
    "SO_REUSEPORT (Linux 3.9)",
)
CANDIDATES = (SUBSET, TIER, GROUPS, TREE, INCREMENTAL, PROCESSES)
