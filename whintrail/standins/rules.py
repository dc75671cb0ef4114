"""Watches by which rules the gateways of a simulated fleet act, from outside their agreement.

Every few milliseconds it asks each process that runs what it would let pass, and keeps for how long two that
hold leases differ without a pause. One without a lease says so, and is counted apart.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import combinations

from whintrail.standins.simulated import World
from whintrail.versions.lease import ActiveVersion
from whintrail.versions.rules import Rules, encode

EVERY_US = 20_000


@dataclass(slots=True)
class RuleAuditor:
    world: World
    since: dict[tuple[bytes, bytes], int] = field(default_factory=dict)
    longest_us: int = 0
    unleased_us: int = 0  # summed over gateways
    apart: int = 0  # most different rules at a time
    loosest: Callable[[Rules], bool] | None = None
    seen: list[tuple[int, int, bytes]] = field(default_factory=list)

    def start(self) -> None:
        self.world.at(self.world.now + EVERY_US, self._look)

    def rule(self, number: int) -> ActiveVersion | None:
        process = self.world.processes[number]
        if process is None or process.node is None or self.world.now < process.stopped_until:
            return None
        versions = process.node.settings
        return (
            versions.member.lease.active_version(process.clock(self.world.now))
            if versions is not None
            else None
        )

    def _look(self) -> None:
        now = self.world.now
        rules = [self.rule(number) for number in range(self.world.count)]
        acted = {encode(rule.rules) for rule in rules if rule is not None and rule.leased}
        self.unleased_us += EVERY_US * sum(rule is not None and not rule.leased for rule in rules)
        self.apart = max(self.apart, len(acted))
        pairs = set(combinations(sorted(acted), 2))
        for pair in [pair for pair in self.since if pair not in pairs]:
            del self.since[pair]
        for pair in pairs:
            began = self.since.setdefault(pair, now)
            self.longest_us = max(self.longest_us, now - began + EVERY_US)
        self.world.at(now + EVERY_US, self._look)
