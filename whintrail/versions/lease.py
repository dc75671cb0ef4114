"""By which rules a gateway acts, and for how long. Pure; times are its own monotonic microseconds.

It acts on what it was told only while its lease runs, which it counts from the sending of the question, not
from the answer. After that it acts on the stricter merge of the last two that it knows, and never stops.
"""

from dataclasses import dataclass
from enum import IntEnum

from whintrail.versions.rules import Rules, RulesError, merge_strict


class Phase(IntEnum):
    SETTLED = 0  # the version in force
    CHECKING = 1  # another was proposed; the same is in force
    ENTERING = 2  # the stricter merge of both is in force


@dataclass(frozen=True, slots=True)
class ActiveVersion:
    """What is in force: `number` and, on the way to the next, both."""

    number: int
    phase: Phase
    rules: Rules
    leased: bool

    @property
    def label(self) -> str:
        return f"{self.number}>{self.number + 1}" if self.phase is Phase.ENTERING else str(self.number)


class VersionLease:
    def __init__(self) -> None:
        self.rules_by_number: dict[int, Rules] = {0: Rules()}  # by number; 0 is what holds before any version
        self.number, self.phase = 0, Phase.SETTLED
        self.expires_at = 0  # of the lease
        self.lapse_count = 0
        self._leased_version = ActiveVersion(0, Phase.SETTLED, Rules(), True)
        self._unleased_version = ActiveVersion(0, Phase.SETTLED, Rules(), False)
        self._was_leased = False

    def renew(self, number: int, phase: Phase, expires_at: int, rules_by_number: dict[int, Rules]) -> None:
        """A lease on a phase came; `bodies` holds those that the phase needs, and the one before if known."""
        if (number, phase) != (self.number, self.phase) or rules_by_number != self.rules_by_number:
            self.number, self.phase, self.rules_by_number = number, phase, dict(rules_by_number)
            current = rules_by_number[number]
            body = current if phase is not Phase.ENTERING else self._merge_versions(number, number + 1)
            self._leased_version = ActiveVersion(number, phase, body, True)
            last = (number, number + 1) if number + 1 in rules_by_number else (number - 1, number)
            self._unleased_version = ActiveVersion(number, phase, self._merge_versions(*last), False)
        self.expires_at = max(self.expires_at, expires_at)

    def _merge_versions(self, a: int, b: int) -> Rules:
        one, other = self.rules_by_number.get(a), self.rules_by_number.get(b)
        if one is None or other is None:
            found = one or other
            assert found is not None
            return found
        try:
            return merge_strict(one, other)
        except RulesError:  # refused before it was agreed; the older stays
            return one

    def active_version(self, now: int) -> ActiveVersion:
        """Looked at with each decision: two comparisons on the ordinary path."""
        if now < self.expires_at:
            self._was_leased = True
            return self._leased_version
        if self._was_leased:
            self._was_leased = False
            self.lapse_count += 1
        return self._unleased_version
