"""What the leader does with versions: leases, and when a proposal enters, settles or is dropped. Sans-I/O.

A new leader knows of no lease that another gave; it lets the time of one pass before anything is settled.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from whintrail.fleet.state import Drop, Enter, Settle, Versions
from whintrail.fleet.wire import LeaseAsk, LeaseTell
from whintrail.versions.member import VersionPace

FRESH_US = 1_500_000


@dataclass(slots=True)
class Heard:
    at: int
    birth: int
    ask: LeaseAsk


class Guide:
    def __init__(self, now: int, pace: VersionPace) -> None:
        self.began, self.pace = now, pace
        self.heard: dict[int, Heard] = {}
        self.since = now  # when this leader first saw the phase that is on
        self.seen: tuple[int, int, bool] = (0, 0, False)

    def asked(
        self, now: int, origin: int, birth: int, ask: LeaseAsk, versions: Versions, sure: bool
    ) -> LeaseTell | None:
        """`sure`: nobody else can lead at this moment. A lease that another leader's word contradicts would
        be worth nothing."""
        self.heard[origin] = Heard(now, birth, ask)
        if not sure:
            return None
        return LeaseTell(ask.stamp, versions.number, versions.entering, self.pace.lease_us // 1000)

    def _turned(self, now: int, versions: Versions) -> None:
        phase = (versions.number, versions.next.digest if versions.next else 0, versions.entering)
        if phase != self.seen:
            self.seen, self.since = phase, now

    def waiting(
        self, now: int, versions: Versions, alive: Iterable[int], birth_of: Callable[[int], int]
    ) -> list[int]:
        """Members that are there and have not said whether they can act on the proposal, or do act on it."""
        version = versions.next
        assert version is not None
        left = []
        for number in alive:
            heard = self.heard.get(number)
            if heard is None or now - heard.at > FRESH_US or heard.birth != birth_of(number):
                left.append(number)
            elif versions.entering:
                if not (heard.ask.entering and heard.ask.number == versions.number):
                    left.append(number)
            elif heard.ask.holds != version.digest:
                left.append(number)
        return left

    def tick(
        self,
        now: int,
        versions: Versions,
        alive: Sequence[int],
        count: int,
        birth_of: Callable[[int], int],
    ) -> Enter | Drop | Settle | None:
        self._turned(now, versions)
        version = versions.next
        if version is None:
            return None
        waiting = self.waiting(now, versions, alive, birth_of)
        if versions.entering:
            everybody = not waiting and len(alive) == count
            # Leases on what was before: none is given since, and those given then have run out.
            over = now - self.since > self.pace.stated_us
            return Settle(version.number) if everybody or over else None
        for number in sorted(self.heard):
            heard = self.heard[number]
            fresh = now - heard.at <= FRESH_US and heard.birth == birth_of(number)
            if fresh and heard.ask.holds == version.digest and heard.ask.veto:
                return Drop(version.number, f"n{number}: {heard.ask.veto}"[:64])
        if not waiting:
            return Enter(version.number)
        if now - self.since > self.pace.check_us:
            names = ", ".join(f"n{number}" for number in waiting[:6])
            return Drop(version.number, f"no word of {names}"[:64])
        return None
