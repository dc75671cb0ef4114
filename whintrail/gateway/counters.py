"""Counts of what is taken in, sent and answered."""

from collections import Counter


class Counters:
    """Counts by group and name, as `queries.served`; what was never counted is not listed."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, group: str, name: str, count: int = 1) -> None:
        self._counts[group, name] += count

    def __getitem__(self, key: tuple[str, str]) -> int:
        return self._counts[key]

    def lines(self) -> list[str]:
        """A line a group: `queries: served=12 refused=1`."""
        groups: dict[str, list[str]] = {}
        for (group, name), count in sorted(self._counts.items()):
            groups.setdefault(group, []).append(f"{name}={count}")
        return [f"{group}: {' '.join(parts)}" for group, parts in groups.items()]
