"""Audits over many seeds that work which may run only once is sent only once (standins/once_audit.py).

    python -m benchmarks.once [SEEDS] [SECONDS] [JOBS]

Prints the result of each seed and the sum; exits with status 1 if anything was sent twice.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

from whintrail.standins.once_audit import run_scenario


def main(arguments: list[str]) -> int:
    """Run all seeds; return the exit status."""
    seeds, seconds, jobs = (int(a) for a in (*arguments, *("50", "5", "4")[len(arguments) :]))
    violations = once_count = keyed_count = late_starts = 0
    numbers = range(1, seeds + 1)
    with ProcessPoolExecutor(jobs) as pool:
        for seed, audit in zip(
            numbers, pool.map(run_scenario, numbers, [float(seconds)] * seeds), strict=True
        ):
            twice, late, left = len(audit.duplicates), len(audit.late_repeats), audit.starts_after_departure
            once, keyed = len(audit.once_starts), len(audit.keyed_starts)
            once_count += once
            keyed_count += keyed
            violations += twice + late
            late_starts += len(left)
            print(f"seed {seed}: once {once}, twice {twice}; keyed {keyed}, late {late};")
            delays = [round(x, 2) for x in left]
            print(f"  begun late after the client left: {delays}; {dict(audit.outcomes)}")
    print(
        f"{seeds} seeds: once {once_count}, keyed {keyed_count}, sent again {violations},"
        f" begun late after the client left {late_starts}"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
