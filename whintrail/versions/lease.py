"""Which rules a gateway applies, and until when. Pure; times are its own monotonic microseconds.

A gateway applies the version of the leader's reply only while its lease runs. The lease counts from the
sending of the request, not from the reply. After it has expired, the gateway applies the stricter merge of
the last two versions that it knows; it never stops serving.
"""

from dataclasses import dataclass
from enum import IntEnum

from whintrail.versions.rules import Rules, RulesError, merge_strict


class Phase(IntEnum):
    """A step on the way from one version to the next."""

    SETTLED = 0  # the version in force
    CHECKING = 1  # the next one was proposed; the version in force still applies
    ENTERING = 2  # the stricter merge of both applies


@dataclass(frozen=True, slots=True)
class ActiveVersion:
    """The rules in force: of version `number`, or while the next one enters, of both."""

    number: int
    phase: Phase
    rules: Rules
    leased: bool

    @property
    def label(self) -> str:
        """The number for display; "7>8" while version 8 enters."""
        return f"{self.number}>{self.number + 1}" if self.phase is Phase.ENTERING else str(self.number)


class VersionLease:
    """The lease of one gateway, and the rules that it applies with and without it."""

    def __init__(self) -> None:
        self.rules_by_number: dict[int, Rules] = {0: Rules()}  # 0: in force before the first version
        self.number, self.phase = 0, Phase.SETTLED
        self.expires_at = 0
        self.lapse_count = 0
        self._leased_version = ActiveVersion(0, Phase.SETTLED, Rules(), True)
        self._unleased_version = ActiveVersion(0, Phase.SETTLED, Rules(), False)
        self._was_leased = False

    def renew(self, number: int, phase: Phase, expires_at: int, rules_by_number: dict[int, Rules]) -> None:
        """Renew the lease for a phase. `rules_by_number` holds the rules that the phase needs, and those of
        the previous version if known."""
        if (number, phase) != (self.number, self.phase) or rules_by_number != self.rules_by_number:
            self.number, self.phase, self.rules_by_number = number, phase, dict(rules_by_number)
            current = rules_by_number[number]
            rules = current if phase is not Phase.ENTERING else self._merge_versions(number, number + 1)
            self._leased_version = ActiveVersion(number, phase, rules, True)
            last_two = (number, number + 1) if number + 1 in rules_by_number else (number - 1, number)
            self._unleased_version = ActiveVersion(number, phase, self._merge_versions(*last_two), False)
        self.expires_at = max(self.expires_at, expires_at)

    def _merge_versions(self, a: int, b: int) -> Rules:
        first, second = self.rules_by_number.get(a), self.rules_by_number.get(b)
        if first is None or second is None:
            known = first or second
            assert known is not None
            return known
        try:
            return merge_strict(first, second)
        except RulesError:  # such a version is vetoed before it enters, so the older one stays in force
            return first

    def active_version(self, now: int) -> ActiveVersion:
        """Called for each routing decision: two comparisons on the usual path."""
        if now < self.expires_at:
            self._was_leased = True
            return self._leased_version
        if self._was_leased:
            self._was_leased = False
            self.lapse_count += 1
        return self._unleased_version
