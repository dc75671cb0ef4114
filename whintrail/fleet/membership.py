"""Fleet membership and failure detection: SWIM with the Lifeguard extensions, without I/O.

In each period a member pings one other, going through all of them in a random order. Without an ack it asks
others for indirect probes; without an ack from those it suspects the target. Updates are disseminated by
gossip on pings and acks. A suspect has time to refute the suspicion with a higher incarnation. With Lifeguard
(Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017) a
slow member distrusts its own observations: its timeouts grow with its local health multiplier, and a
suspicion's timeout starts long and shrinks as other members confirm it.

The set of members is fixed by the configuration, so nothing joins. A process is identified by its boot id,
drawn at random when it starts, and its incarnation, which only the process itself raises. Times are monotonic
microseconds.
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
MAX_UPDATES = 8  # in one ping or ack
MAX_SEQ = 0x7FFFFFFF
LEAVE_FANOUT = 6  # members that a leaving one notifies directly


class MemberState(IntEnum):
    """The state of a member. Within one incarnation a greater state overrides a smaller one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


MEMBER_STATES = tuple(MemberState)  # by the number in a message


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Intervals in microseconds, counts and factors of the protocol."""

    probe_period_us: int = 1_000_000
    ack_timeout_us: int = 300_000
    indirect_probes: int = 4
    suspicion_factor: float = 2.0  # shortest suspicion timeout: this many periods times log10 of the members
    max_suspicion_factor: float = 3.0  # longest suspicion timeout, as a multiple of the shortest
    confirmations: int = 3
    direct_pings: int = 6  # to a suspect, before it is removed
    direct_ping_interval_us: int = 400_000
    retransmit_factor: float = 5.0  # an update is sent this many times log10 of the members
    max_health_multiplier: int = 8
    lifeguard: bool = True
    pause_threshold_us: int = 700_000  # a tick this late shows that the process did not run
    reconnect_interval_us: int = 3_000_000  # between pings of removed members


@dataclass(slots=True)
class Member:
    """What the local member knows of a member."""

    number: int
    state: MemberState = MemberState.GONE  # until it is heard from
    incarnation: int = 0
    boot_id: int = 0  # 0: never heard from
    since: int = 0
    suspect_until: int = 0
    suspected_by: tuple[int, ...] = ()
    pinged_at: int = 0  # by the last direct ping before removal


@dataclass(slots=True)
class Probe:
    """A ping that awaits its ack. `requester` is the member that asked for it, if it is an indirect probe."""

    target: int
    ack_due_at: int
    period_ends_at: int
    indirect_sent: bool = False
    nacks: int = 0
    requester: int | None = None
    requester_seq: int = 0  # of an own probe: the number of members asked for indirect probes


class MembersByState:
    """The numbers of the members in each state, sorted.

    It is updated with each state change, so that a tick with nothing due costs the same at any fleet size.
    """

    def __init__(self, count: int, state: MemberState = MemberState.GONE) -> None:
        """All members start in the same state."""
        self.numbers: dict[MemberState, list[int]] = {each: [] for each in MemberState}
        self.numbers[state] = list(range(count))

    def move(self, number: int, before: MemberState, state: MemberState) -> None:
        """Moves a member from the list of one state to that of another."""
        if state is not before:
            numbers = self.numbers[before]
            del numbers[bisect_left(numbers, number)]
            insort(self.numbers[state], number)

    def __getitem__(self, state: MemberState) -> Sequence[int]:
        return self.numbers[state]


class ExcludingView(Sequence[int]):
    """A view of a sorted sequence of numbers that leaves out a few of them."""

    def __init__(self, numbers: Sequence[int], *excluded: int) -> None:
        self.numbers = numbers
        self.excluded = [
            index
            for number in sorted(set(excluded))
            if (index := bisect_left(numbers, number)) < len(numbers) and numbers[index] == number
        ]

    def __len__(self) -> int:
        return len(self.numbers) - len(self.excluded)

    def __getitem__(self, index: int) -> int:  # type: ignore[override]
        for excluded in self.excluded:
            index += index >= excluded
        return self.numbers[index]

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        index = bisect_left(self.numbers, number)
        return index < len(self.numbers) and self.numbers[index] == number and index not in self.excluded


class UpdateQueue:
    """Members with an update to disseminate: those sent least often first, then those queued longest.

    A heap in which outdated entries are skipped. After a start there is an update of every member; sorting
    all of them for each datagram would take time quadratic in the size of the fleet.
    """

    def __init__(self) -> None:
        # By member: transmissions, and the place in the order of queueing.
        self.queued: dict[int, tuple[int, int]] = {}
        self.heap: list[tuple[int, int, int]] = []
        self.last_sequence = 0

    def __contains__(self, number: int) -> bool:
        return number in self.queued

    def __len__(self) -> int:
        return len(self.queued)

    def add(self, number: int) -> None:
        """Queues a new update of a member, which nobody has been sent."""
        if (entry := self.queued.get(number)) is None:
            self.last_sequence += 1
            self._push(number, 0, self.last_sequence)
        elif entry[0]:
            self._push(number, 0, entry[1])

    def _push(self, number: int, transmits: int, sequence: int) -> None:
        self.queued[number] = (transmits, sequence)
        heappush(self.heap, (transmits, sequence, number))
        if len(self.heap) > 4 * len(self.queued) + 64:
            self.heap = [(*entry, number) for number, entry in self.queued.items()]
            heapify(self.heap)

    def least_sent(self, limit: int) -> list[int]:
        """The members whose updates were sent least often; they stay queued."""
        entries: list[tuple[int, int, int]] = []
        while self.heap and len(entries) < limit:
            first = heappop(self.heap)
            if self.queued.get(first[2]) == first[:2] and first not in entries[-1:]:
                entries.append(first)
        for entry in entries:
            heappush(self.heap, entry)
        return [number for _, _, number in entries]

    def mark_sent(self, number: int, max_transmits: int) -> None:
        """Counts a transmission and drops the update after the last one."""
        if (entry := self.queued.get(number)) is None:
            return
        if entry[0] + 1 >= max_transmits:
            del self.queued[number]
        else:
            self._push(number, entry[0] + 1, entry[1])


class Membership:
    """The local member. Pass messages to `receive`, call `tick` often, and send what is in `outbox`."""

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
        self.local_number = local_number
        self.boot_id = boot_id
        self.random = random
        self.timing = timing or MembershipTiming()
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
        # The first round covers all members, heard from or not.
        self.probe_order = [number for number in range(count) if number != local_number]
        random.shuffle(self.probe_order)
        self.next_probe_at = now + random.randrange(self.timing.probe_period_us)
        self.reconnected_at, self.ticked_at = now, now
        self.refutations = 0
        self.removals = 0

    # --- Queries.

    def is_alive(self, number: int) -> bool:
        """Whether the member counts as alive; a suspect doesn't."""
        return self.members[number].state is MemberState.ALIVE

    def count_in(self, state: MemberState) -> int:
        """The number of members in a state."""
        return len(self.by_state[state])

    def alive_peers(self) -> Sequence[int]:
        """The numbers of all alive members except the local one, sorted."""
        return ExcludingView(self.by_state[MemberState.ALIVE], self.local_number)

    def assume_alive(self, members: Iterable[tuple[int, int]]) -> None:
        """Sets all members alive, with the given boot ids and incarnations, without queueing updates."""
        for member, (boot_id, incarnation) in zip(self.members, members, strict=True):
            member.state, member.boot_id, member.incarnation = MemberState.ALIVE, boot_id, incarnation
        self.by_state = MembersByState(len(self.members), MemberState.ALIVE)

    # --- Received messages.

    def receive(self, now: int, sender: int, boot_id: int, incarnation: int, message: Message) -> bool:
        """Handles a datagram of another member; any kind shows that the member is alive.

        Returns False if a newer process of the member is known: the message is to be ignored.
        """
        if not self._observe_sender(now, sender, boot_id, incarnation):
            return False
        match message:
            case Ping(seq, _, updates):
                self._apply_updates(now, sender, updates)
                self._send(sender, Ack(seq, self.progress(), self._select_updates(sender)))
            case Ack(seq, _, updates):
                self._apply_updates(now, sender, updates)
                self._on_ack(sender, seq)
            case IndirectPing(seq, target):
                if target < len(self.members) and target != self.local_number:
                    deadline = now + self.timing.ack_timeout_us
                    self._send_ping(
                        target, Probe(target, deadline, deadline, requester=sender, requester_seq=seq)
                    )
            case Nack(seq):
                if probe := self.probes.get(seq):
                    probe.nacks += 1
            case Leave():
                self._apply_update(
                    now, sender, MemberUpdate(sender, MemberState.LEAVING, incarnation, boot_id)
                )
        return True

    def _on_ack(self, sender: int, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None:
            return
        if probe.requester is not None:  # an indirect probe: forward the ack
            del self.probes[seq]
            if probe.requester == self.local_number:
                return
            progress, target = self.progress(), self.members[probe.target]
            updates = (MemberUpdate(target.number, target.state, target.incarnation, target.boot_id),)
            self._send(probe.requester, Ack(probe.requester_seq, progress, updates))
            return
        del self.probes[seq]  # acked directly or through an indirect probe
        self.health_multiplier = max(0, self.health_multiplier - 1)

    def _observe_sender(self, now: int, sender: int, boot_id: int, incarnation: int) -> bool:
        member = self.members[sender]
        if boot_id != member.boot_id:
            if member.boot_id and incarnation <= member.incarnation:
                # A late datagram, or its clock went back; a live process then raises its incarnation.
                self._send_update(sender, member)
                return False
            self._set_state(now, member, MemberState.ALIVE, incarnation, boot_id)
        elif incarnation > member.incarnation:
            self._set_state(now, member, MemberState.ALIVE, incarnation, boot_id)
        elif incarnation == member.incarnation and member.state in (MemberState.SUSPECT, MemberState.GONE):
            self._send_update(sender, member)  # only the member itself can refute this
        return True

    def _send_update(self, target: int, member: Member) -> None:
        update = MemberUpdate(member.number, member.state, member.incarnation, member.boot_id)
        self.seq = (self.seq + 1) & MAX_SEQ
        self._send(target, Ping(self.seq, self.progress(), (update,)))

    def _apply_updates(self, now: int, sender: int, updates: Iterable[MemberUpdate]) -> None:
        for update in updates:
            if update.number < len(self.members):
                self._apply_update(now, sender, update)

    def _apply_update(self, now: int, sender: int, update: MemberUpdate) -> None:
        number, state = update.number, MEMBER_STATES[update.state]
        incarnation, boot_id = update.incarnation, update.boot_id
        if boot_id == 0:
            return
        member = self.members[number]
        if number == self.local_number:
            is_other_process = boot_id != self.boot_id and incarnation >= member.incarnation
            if is_other_process or (
                boot_id == self.boot_id and state > member.state and incarnation >= member.incarnation
            ):
                member.incarnation = min(incarnation + 1, MAX_INCARNATION)
                self.updates.add(number)
                self.refutations += 1
                if not is_other_process and self.timing.lifeguard:
                    self._worsen_health()  # suspected by others: the local process may be slow
            return
        if boot_id != member.boot_id:
            if incarnation > member.incarnation:
                self._set_state(now, member, state, incarnation, boot_id, sender)
            return
        if (
            state is MemberState.GONE
            and self.timing.direct_pings
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ):
            if incarnation >= member.incarnation:
                self._verify_removal(now, member, incarnation, sender)
            return
        if incarnation > member.incarnation or (incarnation == member.incarnation and state > member.state):
            self._set_state(now, member, state, incarnation, boot_id, sender)
        elif incarnation == member.incarnation and state is member.state is MemberState.SUSPECT:
            self._confirm_suspicion(now, member, sender)

    def _verify_removal(self, now: int, member: Member, incarnation: int, sender: int) -> None:
        """Treats a removal reported by another member as a suspicion and pings the member first.

        Otherwise one member's mistake would remove a live member everywhere.
        """
        if member.state is MemberState.ALIVE:
            self._set_state(now, member, MemberState.SUSPECT, incarnation, member.boot_id, sender)
        deadline = now + self.timing.direct_pings * self.timing.direct_ping_interval_us
        member.suspect_until = min(member.suspect_until, deadline)

    # --- State changes.

    def _move(self, member: Member, state: MemberState) -> None:
        """Changes a member's state and keeps `by_state` in step."""
        self.by_state.move(member.number, member.state, state)
        member.state = state

    def _set_state(
        self, now: int, member: Member, state: MemberState, incarnation: int, boot_id: int, sender: int = -1
    ) -> None:
        before = member.state
        self._move(member, state)
        member.incarnation, member.boot_id, member.since = incarnation, boot_id, now
        member.suspected_by = ()
        if state is MemberState.SUSPECT:
            member.suspected_by = (sender,)
            member.suspect_until = now + self._suspicion_us(1)
        if state is MemberState.GONE and before is not MemberState.GONE:
            self.removals += 1
        self.updates.add(member.number)

    def _min_suspicion_us(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self.members))))
        return self.timing.suspicion_factor * scale * self.timing.probe_period_us

    def _suspicion_us(self, confirmations: int) -> int:
        """The suspicion timeout of Lifeguard: it shrinks to the shortest with enough confirmations."""
        shortest = self._min_suspicion_us()
        if not self.timing.lifeguard:
            return int(shortest * self.timing.max_suspicion_factor / 2)
        needed = min(self.timing.confirmations, max(1, len(self.members) - 2))
        share = math.log(min(confirmations, needed + 1)) / math.log(needed + 1)
        return int(
            max(shortest, shortest * self.timing.max_suspicion_factor * (1 - share) + shortest * share)
        )

    def _confirm_suspicion(self, now: int, member: Member, sender: int) -> None:
        if sender in member.suspected_by or len(member.suspected_by) > self.timing.confirmations:
            return
        member.suspected_by += (sender,)
        member.suspect_until = min(
            member.suspect_until, member.since + self._suspicion_us(len(member.suspected_by))
        )
        self.updates.add(member.number)

    def _worsen_health(self, by: int = 1) -> None:
        if self.timing.lifeguard:
            self.health_multiplier = min(self.timing.max_health_multiplier, self.health_multiplier + by)

    # --- Timers.

    def tick(self, now: int) -> None:
        """Runs the timers; to be called several times a period.

        A late tick shows that the process was paused. Suspicions are then extended, since acks could not be
        received meanwhile.
        """
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
                # Its refutation may have been lost, so it is pinged again.
                if now - member.pinged_at >= self.timing.direct_ping_interval_us:
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
            if removed := self.by_state[MemberState.GONE]:  # never holds the local member
                self._send_ping(
                    target := self.random.choice(removed),
                    Probe(target, now, now, requester=self.local_number),
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
            present = merge(self.by_state[MemberState.ALIVE], self.by_state[MemberState.SUSPECT])
            self.probe_order = [number for number in present if number != self.local_number]
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
        self.seq = (self.seq + 1) & MAX_SEQ
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
            candidates = ExcludingView(self.by_state[MemberState.ALIVE], self.local_number, probe.target)
            for helper in self.random.sample(candidates, min(self.timing.indirect_probes, len(candidates))):
                self._send(helper, IndirectPing(seq, probe.target))
            if self.timing.direct_pings:  # ping again: a lost datagram is likelier than a broken path
                self._send(probe.target, Ping(seq, self.progress(), self._select_updates(probe.target)))
            probe.requester_seq = min(self.timing.indirect_probes, len(candidates))
        if now < probe.period_ends_at:
            return
        del self.probes[seq]
        if probe.nacks < probe.requester_seq:  # missing nacks: the local links may be at fault
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

    # --- Sending.

    def _select_updates(self, target: int) -> tuple[MemberUpdate, ...]:
        """The updates to send to a member: those sent least often, but to a suspect its own first."""
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
        """Announces shutdown to a few members, which disseminate it."""
        self._move(self.local, MemberState.LEAVING)
        self.updates.add(self.local_number)
        peers = self.alive_peers()
        for target in self.random.sample(peers, min(LEAVE_FANOUT, len(peers))):
            self._send(target, Leave(fence))
