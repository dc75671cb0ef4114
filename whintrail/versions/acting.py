"""By which rules a gateway acts, and for how long. Pure; times are its own monotonic microseconds.

It acts on what it was told only while its lease runs, which it counts from the sending of the question, not
from the answer. After that it acts on the stricter merge of the last two that it knows, and never stops.
"""

from dataclasses import dataclass
from enum import IntEnum

from whintrail.versions.body import Body, BodyError, meet


class Phase(IntEnum):
    SETTLED = 0  # the version in force
    CHECKING = 1  # another was proposed; the same is in force
    ENTERING = 2  # the stricter merge of both is in force


@dataclass(frozen=True, slots=True)
class Rule:
    """What is in force: `number` and, on the way to the next, both."""

    number: int
    phase: Phase
    body: Body
    leased: bool

    @property
    def name(self) -> str:
        return f"{self.number}>{self.number + 1}" if self.phase is Phase.ENTERING else str(self.number)


class Acting:
    def __init__(self) -> None:
        self.bodies: dict[int, Body] = {0: Body()}  # by number; 0 is what holds before any version
        self.number, self.phase = 0, Phase.SETTLED
        self.until = 0  # of the lease
        self.lapses = 0
        self._leased = Rule(0, Phase.SETTLED, Body(), True)
        self._unleased = Rule(0, Phase.SETTLED, Body(), False)
        self._was_leased = False

    def told(self, number: int, phase: Phase, until: int, bodies: dict[int, Body]) -> None:
        """A lease on a phase came; `bodies` holds those that the phase needs, and the one before if known."""
        if (number, phase) != (self.number, self.phase) or bodies != self.bodies:
            self.number, self.phase, self.bodies = number, phase, dict(bodies)
            current = bodies[number]
            body = current if phase is not Phase.ENTERING else self._merge(number, number + 1)
            self._leased = Rule(number, phase, body, True)
            last = (number, number + 1) if number + 1 in bodies else (number - 1, number)
            self._unleased = Rule(number, phase, self._merge(*last), False)
        self.until = max(self.until, until)

    def _merge(self, a: int, b: int) -> Body:
        one, other = self.bodies.get(a), self.bodies.get(b)
        if one is None or other is None:
            found = one or other
            assert found is not None
            return found
        try:
            return meet(one, other)
        except BodyError:  # refused before it was agreed; the older stays
            return one

    def rule(self, now: int) -> Rule:
        """Looked at with each decision: two comparisons on the ordinary path."""
        if now < self.until:
            self._was_leased = True
            return self._leased
        if self._was_leased:
            self._was_leased = False
            self.lapses += 1
        return self._unleased
