"""Observes, from outside, by which rules the gateways of a simulated fleet act.

At every poll the auditor reads the active version of each running process, and keeps for how long two
gateways with leases differ without interruption. Gateways without a lease are counted apart.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import combinations

from whintrail.standins.fleet_simulation import FleetSimulation
from whintrail.versions.lease import ActiveVersion
from whintrail.versions.rules import Rules, encode

POLL_INTERVAL_US = 20_000


@dataclass(slots=True)
class RuleAuditor:
    """Polls the active versions of all gateways, and keeps how long they differed and by how many rules."""

    world: FleetSimulation
    diverging_since: dict[tuple[bytes, bytes], int] = field(default_factory=dict)  # by pair of encoded rules
    longest_divergence_us: int = 0
    unleased_us: int = 0  # summed over gateways
    max_distinct_rules: int = 0  # under lease at the same time
    loosest: Callable[[Rules], bool] | None = None
    seen: list[tuple[int, int, bytes]] = field(default_factory=list)

    def start(self) -> None:
        self.world.schedule(self.world.now + POLL_INTERVAL_US, self._poll)

    def active_version(self, number: int) -> ActiveVersion | None:
        """Return the version that a gateway acts by; None for a process that is down or paused."""
        process = self.world.processes[number]
        if process is None or process.node is None or self.world.now < process.paused_until:
            return None
        versions = process.node.settings
        return (
            versions.member.lease.active_version(process.clock(self.world.now))
            if versions is not None
            else None
        )

    def _poll(self) -> None:
        now = self.world.now
        versions = [self.active_version(number) for number in range(self.world.count)]
        acted = {encode(version.rules) for version in versions if version is not None and version.leased}
        self.unleased_us += POLL_INTERVAL_US * sum(
            version is not None and not version.leased for version in versions
        )
        self.max_distinct_rules = max(self.max_distinct_rules, len(acted))
        pairs = set(combinations(sorted(acted), 2))
        for pair in [pair for pair in self.diverging_since if pair not in pairs]:
            del self.diverging_since[pair]
        for pair in pairs:
            began = self.diverging_since.setdefault(pair, now)
            self.longest_divergence_us = max(self.longest_divergence_us, now - began + POLL_INTERVAL_US)
        self.world.schedule(now + POLL_INTERVAL_US, self._poll)
