"""Mechanisms that are missing today: which rows each would carry, wholly or in part, with a reason. Pure."""

from whintrail.scale.capacity import Candidate

SUBSET = Candidate(
    "a subset of engines",
    {
        "choose_cpu": "weights and their sums are those of the engines that are kept",
        "refresh_stand": "`_refresh` goes through the engines that are kept",
        "delta_stand": "the module hears of a kept engine's change only, and of as many others",
        "links": "links go to kept engines only",
        "refresh_cpu": "`_refresh` goes through the engines that are kept",
        "sweep_cpu": "the same engines are swept",
        "delta_cpu": "an event on an engine that is not kept doesn't reach the module",
        "memo_cpu": "memos go to those who keep the engine, not to all",
        "cpu_sum": "its greatest terms are these",
        "hollow_cpu": "the same, measured",
        "memo_bytes": "memos go to those who keep the engine, not to all",
        "bytes_sum": "memos are nearly all of it",
        "module_memory": "state of kept engines only",
        "memory_sum": "the module's part of it",
    },
    {
        "whole_list_stand": "the module's half; the line is still read whole",
    },
    "rendezvous hashing (Thaler, Ravishankar 1998); subsetting (Beyer et al., "
    "Site Reliability Engineering, 2016, ch. 20)",
)
TIER = Candidate(
    "a control tier in regions",
    {
        "whole_list_stand": "a list comes in numbered pieces, each read in a short turn",
        "delta_bytes": "in batches: one head for several changes",
        "told_bytes": "told once to a region, with a number; only what is missed is asked for again",
        "list_line": "no line holds a whole list",
        "version_in_force": "leases are answered in the region; a batch each fraction of a second",
        "versions_queue": "a batch is one version, however many changes are in it",
        "leader_cpu": "asks end at the regions' leaders",
        "leader_bytes": "asks end at the regions' leaders",
        "lease_cpu": "asks end at the regions' leaders: nine ask the root",
        "leader_node": "who is out is summed up in the region, and asks end there",
        "bulletin_lists": "26 machines read it, and hand it on",
        "bulletin_changes": "26 machines read them, and hand them on",
        "list_apply": "one batch a fraction of a second, whatever came",
    },
    {},
    "control planes pushing numbered deltas (Envoy's incremental xDS); leases (Gray, Cheriton 1989); "
    "hierarchies of cells (Burrows: Chubby, 2006)",
)
GROUPS = Candidate(
    "membership and reports in groups",
    {
        "member_cpu": "a member's table is its group's, not the fleet's",
        "node_cpu": "its greatest term is membership's",
        "member_bytes": "news of others' groups don't come",
        "node_memory": "a table of the group",
    },
    {
        "cpu_sum": "the node's term; the module's is greater",
    },
    "SWIM (Das, Gupta, Motivala 2002) in a hierarchy of domains (van Renesse et al.: Astrolabe, 2003)",
)
TREE = Candidate(
    "a tree over the gateways",
    {
        "leader_bytes": "a parent tells its children, and sums up their reports",
        "bulletin_lists": "the root's children read it, and hand it on",
    },
    {
        "leader_cpu": "a parent tells its children, and sums up their reports",
        "lease_cpu": "asks summed up, at the price of a hop's delay a level",
    },
    "trees with repair by gossip (Leitao, Pereira, Rodrigues: Plumtree, 2007)",
)
INCREMENTAL = Candidate(
    "the module's sums kept step by step",
    {
        "choose_cpu": "a tree of sums: a weight changes in log time",
        "delta_stand": "tables are changed in one place, not made anew",
        "delta_cpu": "tables are changed in one place, not made anew",
    },
    {
        "refresh_stand": "weights are made anew a few engines a turn",
        "refresh_cpu": "the same work, spread; engines not heard of need none",
        "cpu_sum": "memos stay",
    },
    "a tree of sums (Fenwick: A New Data Structure for Cumulative Frequency Tables, 1994)",
)
PROCESSES = Candidate(
    "several processes a gateway",
    {"statement_cpu": "each takes its part of the statements (SO_REUSEPORT)"},
    {},
    "SO_REUSEPORT (Linux 3.9)",
)
CANDIDATES = (SUBSET, TIER, GROUPS, TREE, INCREMENTAL, PROCESSES)
