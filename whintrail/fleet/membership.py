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

from whintrail.fleet.wire import Ack, IndirectPing, Leave, MemberUpdate, Message, Nack, Ping, Progress

MAX_INCARNATION = 0xFFFFFFFF
MAX_UPDATES = 8


class MemberState(IntEnum):
    """Of one incarnation, what comes later overrides."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


MEMBER_STATES = tuple(MemberState)  # by what travels


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """How fast and how patient. Microseconds and counts."""

    probe_period_us: int = 1_000_000
    ack_timeout_us: int = 300_000
    indirect_probes: int = 4
    suspicion_factor: float = 2.0  # times log10 of the members, in periods: the least time of a suspicion
    max_suspicion_factor: float = 3.0  # times that, before others confirm
    confirmations: int = 3
    direct_pings: int = 6  # how often a suspect is asked directly before it is taken for gone
    direct_ping_interval_us: int = 400_000  # so far apart
    retransmit_factor: float = 5.0  # times log10 of the members: how often an update is told
    max_health_multiplier: int = 8  # of our own slowness, as Lifeguard counts it
    lifeguard: bool = True
    pause_threshold_us: int = 700_000  # a turn so late shows that we did not run
    reconnect_interval_us: int = 3_000_000  # how often one of the lost is looked for


@dataclass(slots=True)
class Member:
    number: int
    state: MemberState = MemberState.GONE  # until it is heard of
    incarnation: int = 0
    boot_id: int = 0  # 0: never heard of
    since: int = 0
    suspect_until: int = 0
    suspected_by: tuple[int, ...] = ()
    pinged_at: int = 0  # directly, in the last periods of a suspicion


@dataclass(slots=True)
class Probe:
    """We asked and wait. `origin` is for whom, where another asked us to."""

    target: int
    ack_due_at: int
    period_ends_at: int  # when the period is over
    indirect_sent: bool = False
    nacks: int = 0
    requester: int | None = None
    requester_seq: int = 0


class MembersByState:
    """Numbers of members by what is held of them, each list in order.

    Kept in step, so that a turn in which nothing is due costs the same in a fleet of any size."""

    def __init__(self, count: int, life: MemberState = MemberState.GONE) -> None:
        """At first all are of one kind."""
        self.numbers: dict[MemberState, list[int]] = {each: [] for each in MemberState}
        self.numbers[life] = list(range(count))

    def move(self, number: int, before: MemberState, life: MemberState) -> None:
        if life is not before:
            numbers = self.numbers[before]
            del numbers[bisect_left(numbers, number)]
            insort(self.numbers[life], number)

    def __getitem__(self, life: MemberState) -> Sequence[int]:
        return self.numbers[life]


class ExcludingView(Sequence[int]):
    """Ordered numbers but for a few, without a copy of them."""

    def __init__(self, numbers: Sequence[int], *left_out: int) -> None:
        self.numbers = numbers
        self.excluded = [
            place
            for number in sorted(set(left_out))
            if (place := bisect_left(numbers, number)) < len(numbers) and numbers[place] == number
        ]

    def __len__(self) -> int:
        return len(self.numbers) - len(self.excluded)

    def __getitem__(self, place: int) -> int:  # type: ignore[override]
        for gap in self.excluded:
            place += place >= gap
        return self.numbers[place]

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        place = bisect_left(self.numbers, number)
        return place < len(self.numbers) and self.numbers[place] == number and place not in self.excluded


class UpdateQueue:
    """Members of whom to tell, what was told least first; of equals, who has been news for longer.

    A heap whose outdated places are passed over: after a start every member is news, and to order them all
    for each datagram would cost a fleet the square of its size."""

    def __init__(self) -> None:
        self.queued: dict[int, tuple[int, int]] = {}  # how often, and the order in which it became news
        self.heap: list[tuple[int, int, int]] = []
        self.last_sequence = 0

    def __contains__(self, number: int) -> bool:
        return number in self.queued

    def __len__(self) -> int:
        return len(self.queued)

    def add(self, number: int) -> None:
        """Something new of a member: it has been told to nobody."""
        if (held := self.queued.get(number)) is None:
            self.last_sequence += 1
            self._push(number, 0, self.last_sequence)
        elif held[0]:
            self._push(number, 0, held[1])

    def _push(self, number: int, times: int, became: int) -> None:
        self.queued[number] = (times, became)
        heappush(self.heap, (times, became, number))
        if len(self.heap) > 4 * len(self.queued) + 64:
            self.heap = [(*held, number) for number, held in self.queued.items()]
            heapify(self.heap)

    def least_sent(self, limit: int) -> list[int]:
        """Of so many at most; they stay."""
        found: list[tuple[int, int, int]] = []
        while self.heap and len(found) < limit:
            first = heappop(self.heap)
            if self.queued.get(first[2]) == first[:2] and first not in found[-1:]:
                found.append(first)
        for place in found:
            heappush(self.heap, place)
        return [number for _, _, number in found]

    def mark_sent(self, number: int, max_transmits: int) -> None:
        """Once more; after so many times it is news no more."""
        if (held := self.queued.get(number)) is None:
            return
        if held[0] + 1 >= max_transmits:
            del self.queued[number]
        else:
            self._push(number, held[0] + 1, held[1])


class Membership:
    """Give it what comes and `tick` it; take `out` (target, message)."""

    def __init__(
        self,
        local_number: int,
        count: int,
        boot_id: int,
        incarnation: int,
        now: int,
        random: Random,
        timing: MembershipTiming | None = None,
        progress: Callable[[], Progress] | None = None,
    ) -> None:
        self.local_number, self.boot_id, self.random, self.timing = (
            local_number,
            boot_id,
            random,
            timing or MembershipTiming(),
        )
        self.progress = progress or (lambda: Progress((0, 0, 0), 0, -1, 0))
        self.members = [Member(number) for number in range(count)]
        self.by_state = MembersByState(count)
        self.local = self.members[local_number]
        self._move(self.local, MemberState.ALIVE)
        self.local.boot_id, self.local.since = boot_id, now
        self.local.incarnation = max(1, incarnation & MAX_INCARNATION)
        self.outbox: list[tuple[int, Message]] = []
        self.updates = UpdateQueue()
        self.updates.add(local_number)
        self.max_transmits = math.ceil(self.timing.retransmit_factor * max(1.0, math.log10(count + 1)))
        self.probes: dict[int, Probe] = {}
        self.seq, self.health_multiplier = random.getrandbits(31), 0
        self.probe_order = [
            number for number in range(count) if number != local_number
        ]  # at first all, known or not
        random.shuffle(self.probe_order)
        self.next_probe_at = now + random.randrange(self.timing.probe_period_us)
        self.reconnected_at, self.ticked_at = now, now
        self.refutations = 0
        self.removals = 0

    # --- What others ask of us.

    def is_alive(self, number: int) -> bool:
        return self.members[number].state is MemberState.ALIVE

    def count_in(self, state: MemberState) -> int:
        return len(self.by_state[state])

    def alive_peers(self) -> Sequence[int]:
        """Who is alive but for us, in order."""
        return ExcludingView(self.by_state[MemberState.ALIVE], self.local_number)

    def assume_alive(self, members: Iterable[tuple[int, int]]) -> None:
        """As if all had long been known: birth and incarnation of each, in the order of their numbers."""
        for member, (boot_id, incarnation) in zip(self.members, members, strict=True):
            member.state, member.boot_id, member.incarnation = MemberState.ALIVE, boot_id, incarnation
        self.by_state = MembersByState(len(self.members), MemberState.ALIVE)

    # --- In.

    def receive(self, now: int, sender: int, boot_id: int, incarnation: int, message: Message) -> bool:
        """A datagram of another member, of any kind, is the best sign of its life. False where it comes of
        a process that has a successor: what it says holds no more."""
        if not self._observe_sender(now, sender, boot_id, incarnation):
            return False
        match message:
            case Ping(seq, _, gossip):
                self._apply_updates(now, sender, gossip)
                self._send(sender, Ack(seq, self.progress(), self._select_updates(sender)))
            case Ack(seq, _, gossip):
                self._apply_updates(now, sender, gossip)
                self._on_ack(sender, seq)
            case IndirectPing(seq, target):
                if target < len(self.members) and target != self.local_number:
                    end = now + self.timing.ack_timeout_us
                    self._send_ping(target, Probe(target, end, end, requester=sender, requester_seq=seq))
            case Nack(seq):
                if probe := self.probes.get(seq):
                    probe.nacks += 1
            case Leave():
                self._apply_update(
                    now, sender, MemberUpdate(sender, MemberState.LEAVING, incarnation, boot_id)
                )
        return True

    def _on_ack(self, origin: int, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None:
            return
        if probe.requester is not None:  # what it answered us, we pass on
            del self.probes[seq]
            if probe.requester == self.local_number:
                return
            note, target = self.progress(), self.members[probe.target]
            told = (MemberUpdate(target.number, target.state, target.incarnation, target.boot_id),)
            self._send(probe.requester, Ack(probe.requester_seq, note, told))
            return
        del self.probes[seq]  # by itself or through a helper
        self.health_multiplier = max(0, self.health_multiplier - 1)

    def _observe_sender(self, now: int, origin: int, boot_id: int, incarnation: int) -> bool:
        member = self.members[origin]
        if boot_id != member.boot_id:
            if member.boot_id and incarnation <= member.incarnation:  # late, or its clock went back:
                self._send_update(origin, member)  # told so, the living one raises its incarnation
                return False
            self._set_state(now, member, MemberState.ALIVE, incarnation, boot_id)
        elif incarnation > member.incarnation:
            self._set_state(now, member, MemberState.ALIVE, incarnation, boot_id)
        elif incarnation == member.incarnation and member.state in (MemberState.SUSPECT, MemberState.GONE):
            self._send_update(origin, member)  # it may refute; nobody else may for it
        return True

    def _send_update(self, target: int, member: Member) -> None:
        update = MemberUpdate(member.number, member.state, member.incarnation, member.boot_id)
        self.seq = (self.seq + 1) & 0x7FFFFFFF
        self._send(target, Ping(self.seq, self.progress(), (update,)))

    def _apply_updates(self, now: int, origin: int, gossip: Iterable[MemberUpdate]) -> None:
        for update in gossip:
            if update.number < len(self.members):
                self._apply_update(now, origin, update)

    def _apply_update(self, now: int, origin: int, update: MemberUpdate) -> None:
        number, life = update.number, MEMBER_STATES[update.state]
        incarnation, boot_id = update.incarnation, update.boot_id
        if boot_id == 0:
            return
        member = self.members[number]
        if number == self.local_number:
            other = boot_id != self.boot_id and incarnation >= member.incarnation
            if other or (
                boot_id == self.boot_id and life > member.state and incarnation >= member.incarnation
            ):
                member.incarnation = min(incarnation + 1, MAX_INCARNATION)
                self.updates.add(number)
                self.refutations += 1
                if not other and self.timing.lifeguard:
                    self._worsen_health()  # we were taken for dead: we may be the slow one
            return
        if boot_id != member.boot_id:
            if incarnation > member.incarnation:
                self._set_state(now, member, life, incarnation, boot_id, origin)
            return
        if (
            life is MemberState.GONE
            and self.timing.direct_pings
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ):
            if incarnation >= member.incarnation:
                self._verify_removal(now, member, incarnation, origin)
            return
        if incarnation > member.incarnation or (incarnation == member.incarnation and life > member.state):
            self._set_state(now, member, life, incarnation, boot_id, origin)
        elif incarnation == member.incarnation and life is member.state is MemberState.SUSPECT:
            self._confirm_suspicion(now, member, origin)

    def _verify_removal(self, now: int, member: Member, incarnation: int, origin: int) -> None:
        """Another takes it for gone: one's mistake must not be everybody's, so it is asked by us as well."""
        if member.state is MemberState.ALIVE:
            self._set_state(now, member, MemberState.SUSPECT, incarnation, member.boot_id, origin)
        soon = now + self.timing.direct_pings * self.timing.direct_ping_interval_us
        member.suspect_until = min(member.suspect_until, soon)

    # --- States.

    def _move(self, member: Member, life: MemberState) -> None:
        """The one place at which a member's life changes."""
        self.by_state.move(member.number, member.state, life)
        member.state = life

    def _set_state(
        self, now: int, member: Member, life: MemberState, incarnation: int, boot_id: int, origin: int = -1
    ) -> None:
        before = member.state
        self._move(member, life)
        member.incarnation, member.boot_id, member.since = incarnation, boot_id, now
        member.suspected_by = ()
        if life is MemberState.SUSPECT:
            member.suspected_by = (origin,)
            member.suspect_until = now + self._suspicion_us(1)
        if life is MemberState.GONE and before is not MemberState.GONE:
            self.removals += 1
        self.updates.add(member.number)

    def _min_suspicion_us(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self.members))))
        return self.timing.suspicion_factor * scale * self.timing.probe_period_us

    def _suspicion_us(self, suspectors: int) -> int:
        """Long at first; the least once so many others have said the same."""
        least = self._min_suspicion_us()
        if not self.timing.lifeguard:
            return int(least * self.timing.max_suspicion_factor / 2)
        wanted = min(self.timing.confirmations, max(1, len(self.members) - 2))
        share = math.log(min(suspectors, wanted + 1)) / math.log(wanted + 1)
        return int(max(least, least * self.timing.max_suspicion_factor * (1 - share) + least * share))

    def _confirm_suspicion(self, now: int, member: Member, origin: int) -> None:
        if origin in member.suspected_by or len(member.suspected_by) > self.timing.confirmations:
            return
        member.suspected_by += (origin,)
        member.suspect_until = min(
            member.suspect_until, member.since + self._suspicion_us(len(member.suspected_by))
        )
        self.updates.add(member.number)

    def _worsen_health(self, by: int = 1) -> None:
        if self.timing.lifeguard:
            self.health_multiplier = min(self.timing.max_health_multiplier, self.health_multiplier + by)

    # --- Time.

    def tick(self, now: int) -> None:
        """Several times a period. A turn that comes late shows that we stood still: nobody is blamed for
        what we could not hear meanwhile."""
        late, self.ticked_at = now - self.ticked_at, now
        if late > self.timing.pause_threshold_us:
            self.probes.clear()
            self._worsen_health(self.timing.max_health_multiplier)
            for number in self.by_state[MemberState.SUSPECT]:
                self.members[number].suspect_until += late
            self.next_probe_at = now
        for seq, probe in list(self.probes.items()):
            self._check_probe(now, seq, probe)
        for number in tuple(self.by_state[MemberState.SUSPECT]):
            member = self.members[number]
            if now >= member.suspect_until:
                self._set_state(now, member, MemberState.GONE, member.incarnation, member.boot_id)
            elif now >= member.suspect_until - self.timing.direct_pings * self.timing.direct_ping_interval_us:
                if (
                    now - member.pinged_at >= self.timing.direct_ping_interval_us
                ):  # its own word may have been lost on the way
                    member.pinged_at = now
                    self._send_update(member.number, member)
        if now >= self.next_probe_at:
            stretch = 1 + self.health_multiplier if self.timing.lifeguard else 1
            self.next_probe_at = (
                max(self.next_probe_at, now - self.timing.probe_period_us)
                + self.timing.probe_period_us * stretch
            )
            self._probe_next(now)
        if now >= self.reconnected_at + self.timing.reconnect_interval_us:
            self.reconnected_at = now
            if lost := self.by_state[MemberState.GONE]:  # never we ourselves
                self._send_ping(
                    target := self.random.choice(lost), Probe(target, now, now, requester=self.local_number)
                )

    def _probe_next(self, now: int) -> None:
        while self.probe_order:
            target = self.probe_order.pop()
            if (
                self.members[target].state in (MemberState.ALIVE, MemberState.SUSPECT)
                or not self.members[target].boot_id
            ):
                break
        else:
            there = merge(self.by_state[MemberState.ALIVE], self.by_state[MemberState.SUSPECT])
            self.probe_order = [number for number in there if number != self.local_number]
            self.random.shuffle(self.probe_order)
            if not self.probe_order:
                return
            target = self.probe_order.pop()
        scale = 1 + self.health_multiplier if self.timing.lifeguard else 1
        period = self.timing.probe_period_us * scale
        self._send_ping(
            target, Probe(target, now + self.timing.ack_timeout_us * scale, now + period * 9 // 10)
        )

    def _send_ping(self, target: int, probe: Probe) -> None:
        self.seq = (self.seq + 1) & 0x7FFFFFFF
        self.probes[self.seq] = probe
        self._send(target, Ping(self.seq, self.progress(), self._select_updates(target)))

    def _check_probe(self, now: int, seq: int, probe: Probe) -> None:
        if probe.requester is not None:
            if now >= probe.ack_due_at:
                del self.probes[seq]
                if probe.requester != self.local_number and self.timing.lifeguard:
                    self._send(probe.requester, Nack(probe.requester_seq))
            return
        if now >= probe.ack_due_at and not probe.indirect_sent:
            probe.indirect_sent = True
            able = ExcludingView(self.by_state[MemberState.ALIVE], self.local_number, probe.target)
            for helper in self.random.sample(able, min(self.timing.indirect_probes, len(able))):
                self._send(helper, IndirectPing(seq, probe.target))
            if self.timing.direct_pings:  # once more ourselves: a lost datagram is likelier than a cut way
                self._send(probe.target, Ping(seq, self.progress(), self._select_updates(probe.target)))
            probe.requester_seq = min(self.timing.indirect_probes, len(able))  # so many were asked
        if now < probe.period_ends_at:
            return
        del self.probes[seq]
        if probe.nacks < probe.requester_seq:  # helpers that say nothing either: it may be us
            self._worsen_health(probe.requester_seq - probe.nacks)
        elif probe.requester_seq == 0:
            self._worsen_health()
        member = self.members[probe.target]
        if member.state is MemberState.ALIVE:
            self._set_state(
                now, member, MemberState.SUSPECT, member.incarnation, member.boot_id, self.local_number
            )
        elif member.state is MemberState.SUSPECT:
            self._confirm_suspicion(now, member, self.local_number)

    # --- Out.

    def _select_updates(self, target: int) -> tuple[MemberUpdate, ...]:
        """What is told least so far; to a suspect first of all that it is one."""
        if not self.updates and self.members[target].state is MemberState.ALIVE:
            return ()
        chosen = self.updates.least_sent(MAX_UPDATES)
        if (
            self.members[target].state is not MemberState.ALIVE
            and target not in chosen
            and target != self.local_number
        ):
            chosen = [target, *chosen[: MAX_UPDATES - 1]]
        updates = []
        for number in chosen:
            member = self.members[number]
            if member.boot_id:
                updates.append(MemberUpdate(number, member.state, member.incarnation, member.boot_id))
            self.updates.mark_sent(number, self.max_transmits)
        return tuple(updates)

    def _send(self, target: int, message: Message) -> None:
        self.outbox.append((target, message))

    def leave(self, fence: int) -> None:
        """We end: told to a few, who tell the rest."""
        self._move(self.local, MemberState.LEAVING)
        self.updates.add(self.local_number)
        able = self.alive_peers()
        for target in self.random.sample(able, min(6, len(able))):
            self._send(target, Leave(fence))
