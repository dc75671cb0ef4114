"""Event counters, by group and name."""

from collections import defaultdict


class Counters:
    """Counters by group and name, such as `queries.served`; those never incremented are not listed."""

    def __init__(self) -> None:
        self._groups: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def add(self, group: str, name: str, count: int = 1) -> None:
        """Increment a counter."""
        self._groups[group][name] += count

    def __getitem__(self, key: tuple[str, str]) -> int:
        group, name = key
        return self._groups.get(group, {}).get(name, 0)

    def groups(self) -> list[tuple[str, dict[str, int]]]:
        """All groups with their counters, both sorted by name."""
        return [(group, dict(sorted(counts.items()))) for group, counts in sorted(self._groups.items())]
