"""Work that may run only once, over many seeds of restarts, resets, cuts and leaving clients.

    python -m benchmarks.once [SEEDS] [SECONDS] [AT A TIME]

Prints one line a seed and the sum; status 1 where anything was sent twice.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

from whintrail.standins.once_audit import run_scenario


def main(arguments: list[str]) -> int:
    seeds, seconds, at_a_time = (int(a) for a in (*arguments, *("50", "5", "4")[len(arguments) :]))
    bad = works = calls = begun = 0
    numbers = range(1, seeds + 1)
    with ProcessPoolExecutor(at_a_time) as pool:
        for seed, audit in zip(
            numbers, pool.map(run_scenario, numbers, [float(seconds)] * seeds), strict=True
        ):
            twice, late, left = len(audit.duplicates), len(audit.late_repeats), audit.starts_after_departure
            works, calls, bad = (
                works + len(audit.once_starts),
                calls + len(audit.keyed_starts),
                bad + twice + late,
            )
            begun += len(left)
            print(
                f"seed {seed}: once {len(audit.once_starts)}, twice {twice}; keyed {len(audit.keyed_starts)}, late {late};"
            )
            print(
                f"  begun late after the client left: {[round(x, 2) for x in left]}; {dict(audit.outcomes)}"
            )
    print(f"{seeds} seeds: once {works}, keyed {calls}, sent again {bad}, begun late for who left {begun}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
