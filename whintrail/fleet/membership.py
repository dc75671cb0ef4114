"""Who is there: SWIM with Lifeguard's suspicion, sans-I/O.

Each period a member asks one other whether it lives, in turn through all of them, in an order of its own.
Without an answer it has others ask; without theirs it suspects, and tells so with what it sends anyway. A
suspect has time to refute. Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", 2017) makes one who is itself slow distrust itself: its waits grow with its own
failures, and a suspicion's time starts long and shrinks as others confirm it.

The list of members is given: there is nothing to join. A process is known by its birth, drawn at random at
its start, and its incarnation, which only it raises. Times are monotonic, in microseconds.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from heapq import heapify, heappop, heappush, merge
from random import Random

from whintrail.fleet.wire import Ack, Leaving, Message, Nack, Note, Ping, PingAsk, Update

MOST_INCARNATION = 0xFFFFFFFF
MOST_GOSSIP = 8


class Life(IntEnum):
    """Of one incarnation, what comes later overrides."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


LIVES = tuple(Life)  # by what travels


@dataclass(frozen=True, slots=True)
class Pace:
    """How fast and how patient. Microseconds and counts."""

    period_us: int = 1_000_000
    answer_us: int = 300_000
    helpers: int = 4
    suspect_factor: float = 2.0  # times log10 of the members, in periods: the least time of a suspicion
    suspect_most: float = 3.0  # times that, before others confirm
    confirmations: int = 3
    asks: int = 6  # how often a suspect is asked directly before it is taken for gone
    ask_us: int = 400_000  # so far apart
    retell: float = 5.0  # times log10 of the members: how often an update is told
    most_slow: int = 8  # of our own slowness, as Lifeguard counts it
    lifeguard: bool = True
    paused_us: int = 700_000  # a turn so late shows that we did not run
    lost_every_us: int = 3_000_000  # how often one of the lost is looked for


@dataclass(slots=True)
class Member:
    number: int
    life: Life = Life.GONE  # until it is heard of
    incarnation: int = 0
    birth: int = 0  # 0: never heard of
    since: int = 0
    suspect_until: int = 0
    suspectors: tuple[int, ...] = ()
    asked_at: int = 0  # directly, in the last periods of a suspicion


@dataclass(slots=True)
class Probe:
    """We asked and wait. `origin` is for whom, where another asked us to."""

    target: int
    until: int
    last: int  # when the period is over
    helped: bool = False
    nacks: int = 0
    origin: int | None = None
    origin_seq: int = 0


class ByLife:
    """Numbers of members by what is held of them, each list in order.

    Kept in step, so that a turn in which nothing is due costs the same in a fleet of any size."""

    def __init__(self, count: int, life: Life = Life.GONE) -> None:
        """At first all are of one kind."""
        self.numbers: dict[Life, list[int]] = {each: [] for each in Life}
        self.numbers[life] = list(range(count))

    def move(self, number: int, before: Life, life: Life) -> None:
        if life is not before:
            numbers = self.numbers[before]
            del numbers[bisect_left(numbers, number)]
            insort(self.numbers[life], number)

    def __getitem__(self, life: Life) -> Sequence[int]:
        return self.numbers[life]


class Without(Sequence[int]):
    """Ordered numbers but for a few, without a copy of them."""

    def __init__(self, numbers: Sequence[int], *left_out: int) -> None:
        self.numbers = numbers
        self.left_out = [
            place
            for number in sorted(set(left_out))
            if (place := bisect_left(numbers, number)) < len(numbers) and numbers[place] == number
        ]

    def __len__(self) -> int:
        return len(self.numbers) - len(self.left_out)

    def __getitem__(self, place: int) -> int:  # type: ignore[override]
        for gap in self.left_out:
            place += place >= gap
        return self.numbers[place]

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        place = bisect_left(self.numbers, number)
        return place < len(self.numbers) and self.numbers[place] == number and place not in self.left_out


class News:
    """Members of whom to tell, what was told least first; of equals, who has been news for longer.

    A heap whose outdated places are passed over: after a start every member is news, and to order them all
    for each datagram would cost a fleet the square of its size."""

    def __init__(self) -> None:
        self.told: dict[int, tuple[int, int]] = {}  # how often, and the order in which it became news
        self.heap: list[tuple[int, int, int]] = []
        self.became = 0

    def __contains__(self, number: int) -> bool:
        return number in self.told

    def __len__(self) -> int:
        return len(self.told)

    def put(self, number: int) -> None:
        """Something new of a member: it has been told to nobody."""
        if (held := self.told.get(number)) is None:
            self.became += 1
            self._place(number, 0, self.became)
        elif held[0]:
            self._place(number, 0, held[1])

    def _place(self, number: int, times: int, became: int) -> None:
        self.told[number] = (times, became)
        heappush(self.heap, (times, became, number))
        if len(self.heap) > 4 * len(self.told) + 64:
            self.heap = [(*held, number) for number, held in self.told.items()]
            heapify(self.heap)

    def least(self, most: int) -> list[int]:
        """Of so many at most; they stay."""
        found: list[tuple[int, int, int]] = []
        while self.heap and len(found) < most:
            first = heappop(self.heap)
            if self.told.get(first[2]) == first[:2] and first not in found[-1:]:
                found.append(first)
        for place in found:
            heappush(self.heap, place)
        return [number for _, _, number in found]

    def tell(self, number: int, most: int) -> None:
        """Once more; after so many times it is news no more."""
        if (held := self.told.get(number)) is None:
            return
        if held[0] + 1 >= most:
            del self.told[number]
        else:
            self._place(number, held[0] + 1, held[1])


class Membership:
    """Give it what comes and `tick` it; take `out` (target, message)."""

    def __init__(
        self,
        me: int,
        count: int,
        birth: int,
        incarnation: int,
        now: int,
        random: Random,
        pace: Pace | None = None,
        note: Callable[[], Note] | None = None,
    ) -> None:
        self.me, self.birth, self.random, self.pace = me, birth, random, pace or Pace()
        self.note = note or (lambda: Note((0, 0, 0), 0, -1, 0))
        self.members = [Member(number) for number in range(count)]
        self.by_life = ByLife(count)
        self.mine = self.members[me]
        self._turn(self.mine, Life.ALIVE)
        self.mine.birth, self.mine.since = birth, now
        self.mine.incarnation = max(1, incarnation & MOST_INCARNATION)
        self.out: list[tuple[int, Message]] = []
        self.news = News()
        self.news.put(me)
        self.most_told = math.ceil(self.pace.retell * max(1.0, math.log10(count + 1)))
        self.probes: dict[int, Probe] = {}
        self.seq, self.slow = random.getrandbits(31), 0
        self.order = [number for number in range(count) if number != me]  # at first all, known or not
        random.shuffle(self.order)
        self.next_at = now + random.randrange(self.pace.period_us)
        self.lost_at, self.ticked = now, now
        self.refuted = 0
        self.removals = 0

    # --- What others ask of us.

    def alive(self, number: int) -> bool:
        return self.members[number].life is Life.ALIVE

    def count(self, life: Life) -> int:
        return len(self.by_life[life])

    def others(self) -> Sequence[int]:
        """Who is alive but for us, in order."""
        return Without(self.by_life[Life.ALIVE], self.me)

    def assume(self, known: Iterable[tuple[int, int]]) -> None:
        """As if all had long been known: birth and incarnation of each, in the order of their numbers."""
        for member, (birth, incarnation) in zip(self.members, known, strict=True):
            member.life, member.birth, member.incarnation = Life.ALIVE, birth, incarnation
        self.by_life = ByLife(len(self.members), Life.ALIVE)

    # --- In.

    def heard(self, now: int, origin: int, birth: int, incarnation: int, message: Message) -> bool:
        """A datagram of another member, of any kind, is the best sign of its life. False where it comes of
        a process that has a successor: what it says holds no more."""
        if not self._direct(now, origin, birth, incarnation):
            return False
        match message:
            case Ping(seq, _, gossip):
                self._gossip(now, origin, gossip)
                self._say(origin, Ack(seq, self.note(), self._news(origin)))
            case Ack(seq, _, gossip):
                self._gossip(now, origin, gossip)
                self._acked(origin, seq)
            case PingAsk(seq, target):
                if target < len(self.members) and target != self.me:
                    end = now + self.pace.answer_us
                    self._ping(target, Probe(target, end, end, origin=origin, origin_seq=seq))
            case Nack(seq):
                if probe := self.probes.get(seq):
                    probe.nacks += 1
            case Leaving():
                self._learn(now, origin, Update(origin, Life.LEAVING, incarnation, birth))
        return True

    def _acked(self, origin: int, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None:
            return
        if probe.origin is not None:  # what it answered us, we pass on
            del self.probes[seq]
            if probe.origin == self.me:
                return
            note, target = self.note(), self.members[probe.target]
            told = (Update(target.number, target.life, target.incarnation, target.birth),)
            self._say(probe.origin, Ack(probe.origin_seq, note, told))
            return
        del self.probes[seq]  # by itself or through a helper
        self.slow = max(0, self.slow - 1)

    def _direct(self, now: int, origin: int, birth: int, incarnation: int) -> bool:
        member = self.members[origin]
        if birth != member.birth:
            if member.birth and incarnation <= member.incarnation:  # late, or its clock went back:
                self._tell_of(origin, member)  # told so, the living one raises its incarnation
                return False
            self._set(now, member, Life.ALIVE, incarnation, birth)
        elif incarnation > member.incarnation:
            self._set(now, member, Life.ALIVE, incarnation, birth)
        elif incarnation == member.incarnation and member.life in (Life.SUSPECT, Life.GONE):
            self._tell_of(origin, member)  # it may refute; nobody else may for it
        return True

    def _tell_of(self, target: int, member: Member) -> None:
        update = Update(member.number, member.life, member.incarnation, member.birth)
        self.seq = (self.seq + 1) & 0x7FFFFFFF
        self._say(target, Ping(self.seq, self.note(), (update,)))

    def _gossip(self, now: int, origin: int, gossip: Iterable[Update]) -> None:
        for update in gossip:
            if update.number < len(self.members):
                self._learn(now, origin, update)

    def _learn(self, now: int, origin: int, update: Update) -> None:
        number, life = update.number, LIVES[update.state]
        incarnation, birth = update.incarnation, update.birth
        if birth == 0:
            return
        member = self.members[number]
        if number == self.me:
            other = birth != self.birth and incarnation >= member.incarnation
            if other or (birth == self.birth and life > member.life and incarnation >= member.incarnation):
                member.incarnation = min(incarnation + 1, MOST_INCARNATION)
                self.news.put(number)
                self.refuted += 1
                if not other and self.pace.lifeguard:
                    self._slower()  # we were taken for dead: we may be the slow one
            return
        if birth != member.birth:
            if incarnation > member.incarnation:
                self._set(now, member, life, incarnation, birth, origin)
            return
        if life is Life.GONE and self.pace.asks and member.life in (Life.ALIVE, Life.SUSPECT):
            if incarnation >= member.incarnation:
                self._hearsay(now, member, incarnation, origin)
            return
        if incarnation > member.incarnation or (incarnation == member.incarnation and life > member.life):
            self._set(now, member, life, incarnation, birth, origin)
        elif incarnation == member.incarnation and life is member.life is Life.SUSPECT:
            self._confirm(now, member, origin)

    def _hearsay(self, now: int, member: Member, incarnation: int, origin: int) -> None:
        """Another takes it for gone: one's mistake must not be everybody's, so it is asked by us as well."""
        if member.life is Life.ALIVE:
            self._set(now, member, Life.SUSPECT, incarnation, member.birth, origin)
        soon = now + self.pace.asks * self.pace.ask_us
        member.suspect_until = min(member.suspect_until, soon)

    # --- States.

    def _turn(self, member: Member, life: Life) -> None:
        """The one place at which a member's life changes."""
        self.by_life.move(member.number, member.life, life)
        member.life = life

    def _set(
        self, now: int, member: Member, life: Life, incarnation: int, birth: int, origin: int = -1
    ) -> None:
        before = member.life
        self._turn(member, life)
        member.incarnation, member.birth, member.since = incarnation, birth, now
        member.suspectors = ()
        if life is Life.SUSPECT:
            member.suspectors = (origin,)
            member.suspect_until = now + self._suspicion_us(1)
        if life is Life.GONE and before is not Life.GONE:
            self.removals += 1
        self.news.put(member.number)

    def _least_us(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self.members))))
        return self.pace.suspect_factor * scale * self.pace.period_us

    def _suspicion_us(self, suspectors: int) -> int:
        """Long at first; the least once so many others have said the same."""
        least = self._least_us()
        if not self.pace.lifeguard:
            return int(least * self.pace.suspect_most / 2)
        wanted = min(self.pace.confirmations, max(1, len(self.members) - 2))
        share = math.log(min(suspectors, wanted + 1)) / math.log(wanted + 1)
        return int(max(least, least * self.pace.suspect_most * (1 - share) + least * share))

    def _confirm(self, now: int, member: Member, origin: int) -> None:
        if origin in member.suspectors or len(member.suspectors) > self.pace.confirmations:
            return
        member.suspectors += (origin,)
        member.suspect_until = min(
            member.suspect_until, member.since + self._suspicion_us(len(member.suspectors))
        )
        self.news.put(member.number)

    def _slower(self, by: int = 1) -> None:
        if self.pace.lifeguard:
            self.slow = min(self.pace.most_slow, self.slow + by)

    # --- Time.

    def tick(self, now: int) -> None:
        """Several times a period. A turn that comes late shows that we stood still: nobody is blamed for
        what we could not hear meanwhile."""
        late, self.ticked = now - self.ticked, now
        if late > self.pace.paused_us:
            self.probes.clear()
            self._slower(self.pace.most_slow)
            for number in self.by_life[Life.SUSPECT]:
                self.members[number].suspect_until += late
            self.next_at = now
        for seq, probe in list(self.probes.items()):
            self._overdue(now, seq, probe)
        for number in tuple(self.by_life[Life.SUSPECT]):
            member = self.members[number]
            if now >= member.suspect_until:
                self._set(now, member, Life.GONE, member.incarnation, member.birth)
            elif now >= member.suspect_until - self.pace.asks * self.pace.ask_us:
                if now - member.asked_at >= self.pace.ask_us:  # its own word may have been lost on the way
                    member.asked_at = now
                    self._tell_of(member.number, member)
        if now >= self.next_at:
            stretch = 1 + self.slow if self.pace.lifeguard else 1
            self.next_at = max(self.next_at, now - self.pace.period_us) + self.pace.period_us * stretch
            self._next(now)
        if now >= self.lost_at + self.pace.lost_every_us:
            self.lost_at = now
            if lost := self.by_life[Life.GONE]:  # never we ourselves
                self._ping(target := self.random.choice(lost), Probe(target, now, now, origin=self.me))

    def _next(self, now: int) -> None:
        while self.order:
            target = self.order.pop()
            if self.members[target].life in (Life.ALIVE, Life.SUSPECT) or not self.members[target].birth:
                break
        else:
            there = merge(self.by_life[Life.ALIVE], self.by_life[Life.SUSPECT])
            self.order = [number for number in there if number != self.me]
            self.random.shuffle(self.order)
            if not self.order:
                return
            target = self.order.pop()
        scale = 1 + self.slow if self.pace.lifeguard else 1
        period = self.pace.period_us * scale
        self._ping(target, Probe(target, now + self.pace.answer_us * scale, now + period * 9 // 10))

    def _ping(self, target: int, probe: Probe) -> None:
        self.seq = (self.seq + 1) & 0x7FFFFFFF
        self.probes[self.seq] = probe
        self._say(target, Ping(self.seq, self.note(), self._news(target)))

    def _overdue(self, now: int, seq: int, probe: Probe) -> None:
        if probe.origin is not None:
            if now >= probe.until:
                del self.probes[seq]
                if probe.origin != self.me and self.pace.lifeguard:
                    self._say(probe.origin, Nack(probe.origin_seq))
            return
        if now >= probe.until and not probe.helped:
            probe.helped = True
            able = Without(self.by_life[Life.ALIVE], self.me, probe.target)
            for helper in self.random.sample(able, min(self.pace.helpers, len(able))):
                self._say(helper, PingAsk(seq, probe.target))
            if self.pace.asks:  # once more ourselves: a lost datagram is likelier than a cut way
                self._say(probe.target, Ping(seq, self.note(), self._news(probe.target)))
            probe.origin_seq = min(self.pace.helpers, len(able))  # so many were asked
        if now < probe.last:
            return
        del self.probes[seq]
        if probe.nacks < probe.origin_seq:  # helpers that say nothing either: it may be us
            self._slower(probe.origin_seq - probe.nacks)
        elif probe.origin_seq == 0:
            self._slower()
        member = self.members[probe.target]
        if member.life is Life.ALIVE:
            self._set(now, member, Life.SUSPECT, member.incarnation, member.birth, self.me)
        elif member.life is Life.SUSPECT:
            self._confirm(now, member, self.me)

    # --- Out.

    def _news(self, target: int) -> tuple[Update, ...]:
        """What is told least so far; to a suspect first of all that it is one."""
        if not self.news and self.members[target].life is Life.ALIVE:
            return ()
        chosen = self.news.least(MOST_GOSSIP)
        if self.members[target].life is not Life.ALIVE and target not in chosen and target != self.me:
            chosen = [target, *chosen[: MOST_GOSSIP - 1]]
        updates = []
        for number in chosen:
            member = self.members[number]
            if member.birth:
                updates.append(Update(number, member.life, member.incarnation, member.birth))
            self.news.tell(number, self.most_told)
        return tuple(updates)

    def _say(self, target: int, message: Message) -> None:
        self.out.append((target, message))

    def leave(self, fence: int) -> None:
        """We end: told to a few, who tell the rest."""
        self._turn(self.mine, Life.LEAVING)
        self.news.put(self.me)
        able = self.others()
        for target in self.random.sample(able, min(6, len(able))):
            self._say(target, Leaving(fence))
