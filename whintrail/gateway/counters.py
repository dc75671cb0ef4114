"""Counts of what is taken in, sent and answered."""

from collections import defaultdict


class Counters:
    """Counts by group and name, as `queries.served`; what was never counted is not listed."""

    def __init__(self) -> None:
        self._groups: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def add(self, group: str, name: str, count: int = 1) -> None:
        self._groups[group][name] += count

    def __getitem__(self, key: tuple[str, str]) -> int:
        group, name = key
        return self._groups.get(group, {}).get(name, 0)

    def groups(self) -> list[tuple[str, dict[str, int]]]:
        """Groups and their counts, both by name."""
        return [(group, dict(sorted(counts.items()))) for group, counts in sorted(self._groups.items())]
