"""What the council's leader decides: who may go out, when a drain is done, how a release goes on. Sans-I/O.

Everything here that is not in the agreed state is seen anew by each leader: reports, zones, how long members
are proven, what a step's comparison shows. A leader that knows too little says *later*.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from whintrail.fleet.budget import Allowed, Out, room
from whintrail.fleet.council import Council, Role
from whintrail.fleet.membership import Life, Membership
from whintrail.fleet.release import Comparison, Measure, Verdict
from whintrail.fleet.replica import Replica
from whintrail.fleet.state import (
    BACK,
    HALTED,
    RUNNING,
    STATUS,
    Any,
    Drain,
    Drained,
    DrainEngine,
    Free,
    Grant,
    Lost,
    Propose,
    Release,
    Slot,
    Start,
    Step,
    Turn,
    Undrain,
)
from whintrail.fleet.state import (
    DONE as ENDED,
)
from whintrail.fleet.wire import (
    DONE,
    LATER,
    REFUSED,
    Answer,
    Ask,
    GiveBack,
    Report,
    WantDrain,
    WantRelease,
    WantSlot,
    WantTurn,
    WantUndrain,
    WantVersion,
)

NO_ZONE = 255


@dataclass(frozen=True, slots=True)
class Rules:
    gateways: Allowed = field(default_factory=lambda: Allowed(1, 1))
    engines: Allowed = field(default_factory=lambda: Allowed(1, 1))
    stale_us: int = 2_600_000  # a report older than that proves nothing
    proven_us: int = 3_000_000  # so long a new process has to have served
    ended_us: int = 4_500_000  # whoever said that it ends has ended by then
    halted_us: int = 2_000_000  # losses have used the budget for so long: a drain under way is undone
    measure: Measure = field(default_factory=Measure)


@dataclass(slots=True)
class Seen:
    """The newest report of a member."""

    at: int
    birth: int
    report: Report


@dataclass(frozen=True, slots=True)
class EngineSeen:
    """An engine as this gateway knows it. `out`: leaving by the list, or not fit, and why."""

    zone: str
    out: str = ""


@dataclass(slots=True)
class Pending:
    """An ask whose command is on its way to being decided."""

    origin: int
    id: int
    command: Any


Proposal = tuple[str, dict[str, object]]  # for log and counters: what, and its particulars


@dataclass(slots=True)
class Watch:
    """A drain as this leader follows it."""

    fence: int
    index: int  # a report that has applied this much knows of the drain
    since: int
    told: bool = False  # that it is past its limit
    full_since: int = 0  # that losses have used the budget


class Leader:
    """Made when this process becomes leader, dropped when it ceases to be."""

    def __init__(
        self,
        now: int,
        council: Council,
        replica: Replica,
        members: Membership,
        rules: Rules,
        zones: tuple[str, ...],
        wall_ms: Callable[[], int],
        says: Callable[[str, dict[str, object]], None],
    ) -> None:
        self.began, self.council, self.replica, self.members = now, council, replica, members
        self.rules, self.zones, self.wall_ms, self.says = rules, zones, wall_ms, says
        self.seen: dict[int, Seen] = {}
        self.zone_of: dict[int, int] = {}
        self.engines: dict[str, EngineSeen] = {}
        self.pending: dict[int, Pending] = {}  # by index
        self.answers: list[tuple[int, Answer]] = []
        self.watched: dict[str, Watch] = {}
        self.comparison: Comparison | None = None
        self.compared: tuple[int, int] = (0, 0)  # the release and the step that it is of
        self.wanted_until = now
        self.turned_away: dict[int, str] = {}  # members, and why last

    # --- Members.

    def report(self, now: int, origin: int, birth: int, report: Report) -> None:
        self.seen[origin] = Seen(now, birth, report)
        self.zone_of[origin] = report.zone
        release = self.replica.state.release
        if self.comparison is not None and release is not None and release.status == RUNNING:
            if report.serving_ms * 1000 >= self.rules.proven_us:  # not what a cold start costs
                self.comparison.report(origin, birth, report)

    def zone(self, number: int) -> str | None:
        index = self.zone_of.get(number, NO_ZONE)
        return self.zones[index] if index < len(self.zones) else None

    def why_out(self, now: int, number: int) -> str:
        """Empty for a gateway that is known to serve."""
        slot = self.replica.state.slots.get(number)
        if slot is not None:
            return f"slot {slot.fence}"
        member = self.members.members[number]
        if member.life is not Life.ALIVE:
            return "never heard of" if not member.birth else member.life.name.lower()
        if number == self.council.me:
            return ""
        seen = self.seen.get(number)
        if seen is None or seen.birth != member.birth or now - seen.at > self.rules.stale_us:
            return "no fresh report"
        if seen.report.serving_ms * 1000 < self.rules.proven_us:
            return "not proven"
        return ""

    def outs(self, now: int) -> list[Out]:
        """Gateways that are out, those granted but not yet decided among them."""
        found = {}
        for member in self.members.members:
            if why := self.why_out(now, member.number):
                found[member.number] = Out(f"n{member.number}", self.zone(member.number), why)
        for command in self.council.undecided:
            if isinstance(command, Grant):
                number = command.number
                found[number] = Out(f"n{number}", self.zone(number), "slot on its way")
        return [found[number] for number in sorted(found)]

    def sizes(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for number in range(len(self.members.members)):
            if (zone := self.zone(number)) is not None:
                counts[zone] = counts.get(zone, 0) + 1
        return counts

    # --- What is asked.

    def asked(self, now: int, origin: int, birth: int, ask: Ask) -> None:
        self.wanted_until = max(self.wanted_until, now + 10_000_000)
        if any((p.origin, p.id) == (origin, ask.id) for p in self.pending.values()):
            return  # on its way
        change = ask.change
        match change:
            case WantSlot():
                word, text, command = self._slot(now, origin, birth, ask.id, change)
            case GiveBack():
                word, text, command = self._give_back(origin, change)
            case WantDrain():
                word, text, command = self._drain(change)
            case WantUndrain(engine, why):
                known = engine in self.replica.state.drains
                word, text, command = LATER, "", Undrain(engine, why) if known else None
                if not known:
                    word, text = DONE, "it is not drained"
            case WantRelease():
                word, text, command = self._release(change)
            case WantTurn(status, why):
                word, text, command = self._turn(status, why)
            case WantVersion():
                word, text, command = self._version(origin, change)
        if command is None:
            self._answer(origin, ask.id, word, self._fence(origin, birth, change), text)
            if word != DONE and self.turned_away.get(origin) != text:  # once for each reason
                self.turned_away[origin] = text
                kind = type(change).__name__.removeprefix("Want").lower()
                self.says(f"{kind} refused", {"member": origin, "why": text})
        else:
            self._propose(now, command, Pending(origin, ask.id, command))

    def _fence(self, origin: int, birth: int, change: object) -> int:
        slot = self.replica.state.slots.get(origin)
        if isinstance(change, WantSlot):
            return slot.fence if slot is not None and slot.birth == birth else 0
        drain = self.replica.state.drains.get(change.engine) if isinstance(change, WantDrain) else None
        return drain.fence if drain is not None else 0

    def _answer(self, origin: int, id: int, word: int, fence: int, text: str) -> None:
        self.answers.append((origin, Answer(id, word, fence, text[:160])))

    def _propose(self, now: int, command: Any, pending: Pending | None = None) -> None:
        index = self.council.propose(now, command)
        if index is not None and pending is not None and index not in self.pending:
            if index > self.replica.position[2]:
                self.pending[index] = pending
            else:  # a council of one has decided already
                self._decided(pending, "")

    def decided(self, index: int, command: Any, refused: str) -> None:
        """An entry was applied; `refused`: why it changed nothing."""
        pending = self.pending.pop(index, None)
        if pending is not None:
            if pending.command == command:
                self._decided(pending, refused)
            else:  # another leader's came instead
                self._answer(pending.origin, pending.id, LATER, 0, "another leader decides")

    def _decided(self, pending: Pending, refused: str) -> None:
        command, state = pending.command, self.replica.state
        fence = 0
        if isinstance(command, Grant) and (slot := state.slots.get(command.number)):
            fence = slot.fence
        if isinstance(command, DrainEngine) and (drain := state.drains.get(command.engine)):
            fence = drain.fence
        if isinstance(command, Start) and state.release is not None:
            fence = state.release.id
        word = REFUSED if refused else DONE
        self._answer(pending.origin, pending.id, word, fence, refused)

    Found = tuple[int, str, Any | None]  # word and text of the answer, or the command that is proposed

    def _slot(self, now: int, origin: int, birth: int, id: int, want: WantSlot) -> "Found":
        state = self.replica.state
        if want.birth != birth:
            return REFUSED, "asked for by an earlier process", None
        slot = state.slots.get(origin)
        if slot is not None:
            if (slot.birth, slot.ask) == (birth, id):
                return DONE, "", None
            of = "an earlier process" if slot.birth != birth else "an earlier request"
            return LATER, f"slot {slot.fence} of {of} is not free yet", None
        if any(isinstance(c, Grant) for c in self.council.undecided):
            return LATER, "another slot is being decided", None
        others = [out for out in self.outs(now) if out.name != f"n{origin}"]
        full = room(self.rules.gateways, others, self.zone(origin), self.sizes(), len(self.members.members))
        if full:
            return LATER, full, None
        if kept := self._council_needs(now, origin):
            return LATER, kept, None
        release = 0
        under = state.release
        if under is not None and under.status != ENDED:
            is_new = want.build == under.build
            if under.status == HALTED:
                return LATER, f"release {under.id} is halted: {under.said}", None
            if under.status == BACK and is_new:
                release = under.id
            elif under.status == RUNNING and not is_new:
                on = self.on_build(now, under.build) | {n for n, s in state.slots.items() if s.release}
                target = under.target(len(self.members.members))
                if len(on) >= target:
                    return LATER, f"step {under.step + 1}: {len(on)} of {target} are on {under.build}", None
                if under.by_zone and (first := self._zone_first(under, on)) not in ("", self.zone(origin)):
                    return LATER, f"step {under.step + 1}: zone {first} goes first", None
                release = under.id
        return DONE, "", Grant(origin, birth, id, release, self.wall_ms())

    def _zone_first(self, under: Release, on: set[int]) -> str:
        """The first zone that has not its share of this step on the new build."""
        for zone, size in sorted(self.sizes().items()):
            if sum(self.zone(number) == zone for number in on) < under.target(size):
                return zone
        return ""

    def _council_needs(self, now: int, origin: int) -> str:
        """Whoever restarts forgets: were most of the council to, nobody could vouch for what is agreed."""
        council = self.council
        if origin not in council.members or not council.others:
            return ""
        away = {n for n in council.away(now) if n != origin}
        away |= {n for n in council.members if n != origin and self.why_out(now, n)}
        if len(away) + 1 <= len(council.members) - council.majority:
            return ""
        return "it is of the council, and away are " + ", ".join(f"n{n}" for n in sorted(away))

    def _give_back(self, origin: int, given: GiveBack) -> "Found":
        if given.by_hand:
            if given.number >= len(self.members.members):
                return REFUSED, "no such gateway", None
            member = self.members.members[given.number]
            if member.life is Life.ALIVE:
                return REFUSED, "it is alive: end it first", None
            slot = self.replica.state.slots.get(given.number)
            return DONE, "", Lost(given.number, slot.birth if slot is not None else member.birth)
        slot = self.replica.state.slots.get(given.number)
        if slot is None or (given.fence and slot.fence != given.fence):
            return DONE, "no such slot", None
        if given.number != origin:
            return REFUSED, "not its own", None
        return DONE, "", Free(given.number, slot.fence, "not used")

    def _drain(self, want: WantDrain) -> "Found":
        if want.engine in self.replica.state.drains:
            return DONE, "drained already", None
        if want.engine not in self.engines:
            return REFUSED, "no such engine in the list", None
        if (full := self._engine_room(want.engine)) and not self.engines[want.engine].out:
            return REFUSED, full, None  # one that is out anyway costs nothing more
        return DONE, "", DrainEngine(want.engine, want.why, want.limit_s, want.undo, self.wall_ms())

    def _engine_room(self, engine: str) -> str:
        """Why one more may not be out beside all others that are; empty if it may."""
        out = {
            name: Out(name, seen.zone, seen.out or "drained")
            for name, seen in self.engines.items()
            if seen.out or name in self.replica.state.drains
        }
        for command in self.council.undecided:
            if isinstance(command, DrainEngine) and command.engine in self.engines:
                out[command.engine] = Out(command.engine, self.engines[command.engine].zone, "on its way")
        out.pop(engine, None)
        sizes: dict[str, int] = {}
        for seen in self.engines.values():
            sizes[seen.zone] = sizes.get(seen.zone, 0) + 1
        zone = self.engines[engine].zone
        return room(self.rules.engines, out.values(), zone, sizes, len(self.engines))

    def _release(self, want: WantRelease) -> "Found":
        steps, under = want.steps, self.replica.state.release
        if list(steps) != sorted(set(steps)) or steps[-1] != 1000 or steps[0] <= 0:
            return REFUSED, "steps have to rise to the whole fleet", None
        if under is not None and under.status != ENDED:
            if (under.build, under.steps, under.why, under.status) == (want.build, steps, want.why, RUNNING):
                return DONE, "it is under way", None  # asked twice, as an answer may be lost
            return REFUSED, f"release {under.id} is {STATUS[under.status]}", None
        return DONE, "", Start(want.build, steps, want.why, self.wall_ms(), want.by_zone)

    def _turn(self, status: int, why: str) -> "Found":
        under = self.replica.state.release
        if under is None:
            return REFUSED, "no release", None
        if under.status == status:
            return DONE, f"it is {STATUS[status]}", None
        return DONE, "", Turn(under.id, status, why)

    def _version(self, origin: int, want: WantVersion) -> "Found":
        versions = self.replica.state.versions
        for version in (versions.next, versions.current):
            if version is not None and (version.number, version.digest) == (want.number, want.digest):
                return DONE, "", None  # asked twice, as an answer may be lost
        if versions.next is not None:
            return REFUSED, f"version {versions.next.number} is on its way", None
        if want.number != versions.number + 1:
            return REFUSED, f"version {versions.number} is in force: made on another", None
        return DONE, "", Propose(want.number, want.digest, origin, want.why, self.wall_ms())

    # --- Time.

    def on_build(self, now: int, build: str) -> set[int]:
        """Members whose newest report told that build; one not heard of since counts still, unless a person
        has given it up."""
        lost = self.replica.state.lost
        return {
            number
            for number, seen in self.seen.items()
            if seen.report.build == build and lost.get(number) != seen.birth
        }

    @property
    def busy(self) -> bool:
        """There is something to decide, so reports are wanted."""
        state = self.replica.state
        open_ = any(not drain.done for drain in state.drains.values())
        under = state.release
        return open_ or bool(state.slots) or (under is not None and under.status in (RUNNING, BACK))

    def tick(self, now: int) -> None:
        if self.council.role is not Role.LEADER or self.council.undecided:
            return
        state = self.replica.state
        for number, slot in sorted(state.slots.items()):
            if self._came_back(now, number, slot):
                self._propose(now, Free(number, slot.fence, "back"))
                return
        for engine, drain in sorted(state.drains.items()):
            if (command := self._follow_drain(now, engine, drain)) is not None:
                self._propose(now, command)
                return
        if state.release is not None and (command := self._follow_release(now)) is not None:
            self._propose(now, command)

    def _came_back(self, now: int, number: int, slot: Slot) -> bool:
        """A new process under its number has served for long enough. The old one's silence proves nothing."""
        seen, member = self.seen.get(number), self.members.members[number]
        if seen is None or seen.birth == slot.birth or now - seen.at > self.rules.stale_us:
            return False
        alive = member.life is Life.ALIVE and member.birth == seen.birth
        return alive and seen.report.serving_ms * 1000 >= self.rules.proven_us

    def waits_for(self, now: int, engine: str) -> list[int]:
        """Members that have not said that nothing of theirs is out there. Silence is no word: who is cut off
        from us may still send. Gone is who said that it ends, or for whom a person vouches."""
        watch = self._watch(now, engine, self.replica.state.drains[engine])
        left = []
        for member in self.members.members:
            number = member.number
            if member.life is Life.LEAVING and now - member.since > self.rules.ended_us:
                continue  # it said that it ends, and has had its time to
            if member.life is not Life.ALIVE and self.replica.state.lost.get(number) == member.birth:
                continue  # a person vouches for it
            seen, epoch = self.seen.get(number), self.replica.position[0]
            knows = (
                seen is not None
                and seen.at > watch.since
                and (not member.birth or seen.birth == member.birth)
                and seen.report.epoch == epoch
                and seen.report.applied >= watch.index
            )
            if not knows or seen is None or watch.fence in seen.report.busy:
                left.append(number)
        return left

    def _watch(self, now: int, engine: str, drain: Drain) -> Watch:
        watch = self.watched.get(engine)
        if watch is None or watch.fence != drain.fence:
            watch = self.watched[engine] = Watch(drain.fence, self.replica.position[2], now)
        return watch

    def _follow_drain(self, now: int, engine: str, drain: Drain) -> Any | None:
        watch = self._watch(now, engine, drain)
        if drain.done:
            return None
        if not self.waits_for(now, engine):
            return Drained(engine, drain.fence)
        full = self._engine_room(engine) if engine in self.engines else ""
        watch.full_since = 0 if not full else watch.full_since or now
        if full and now - watch.full_since > self.rules.halted_us:  # not for one lost answer somewhere
            return Undrain(engine, f"halted: {full}"[:64])
        if drain.limit_s and now - watch.since > drain.limit_s * 1_000_000:
            if drain.undo:
                return Undrain(engine, "past its time")
            if not watch.told:
                watch.told = True
                self.says(
                    "drain past its time, held",
                    {"engine": engine, "waits_for": len(self.waits_for(now, engine))},
                )
        return None

    def _follow_release(self, now: int) -> Any | None:
        under = self.replica.state.release
        assert under is not None
        slots = any(slot.release for slot in self.replica.state.slots.values())
        on = self.on_build(now, under.build)
        if under.status == BACK:
            known = sum(not self.why_out(now, m.number) for m in self.members.members)
            if not slots and not on and known * 2 > len(self.members.members):
                return Turn(under.id, ENDED, "back")
            return None
        if under.status != RUNNING:
            return None
        if self.comparison is None or self.compared[0] != under.id:
            self.comparison = Comparison(under.build, self.rules.measure)
        if self.compared != (under.id, under.step):
            self.compared = (under.id, under.step)
            self.comparison.next_step()
        self.comparison.agreed = under.usual
        verdict, text = self.comparison.judge()
        if verdict is Verdict.HALT:
            return Turn(under.id, HALTED, text[:64])
        if verdict is Verdict.GO and not slots and len(on) >= under.target(len(self.members.members)):
            if under.step + 1 < len(under.steps):
                return Step(under.id, under.step + 1, self.comparison.shares())
            return Turn(under.id, ENDED, text[:64])
        return None
