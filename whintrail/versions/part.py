"""The versions' part of a fleet's node: member, guide where this process leads, and lists. Sans-I/O."""

from collections.abc import Callable, Sequence
from random import Random

from whintrail.fleet.council import Council
from whintrail.fleet.membership import Life, Membership
from whintrail.fleet.state import Versions
from whintrail.fleet.wire import (
    Any_,
    BodyPiece,
    BodyPull,
    LeaseAsk,
    LeaseTell,
    ListNote,
    ListPull,
    ListStrict,
)
from whintrail.versions.guide import Guide
from whintrail.versions.lists import Lists, Sight
from whintrail.versions.member import Check, Member, VersionPace

NOTES, NOTE_US, NAMES, MOST_TOLD = 2, 1_000_000, 3, 64
Say = Callable[[int | None, Any_], None]


class Settings:
    def __init__(
        self, pace: VersionPace, me: int, random: Random, check: Check, members: Membership, say: Say
    ) -> None:
        self.pace, self.me, self.random, self.members, self.say = pace, me, random, members, say
        self.member = Member(random, check, pace)
        self.lists = Lists(pace.list_silent_us)
        self.guide: Guide | None = None
        self.council: Council | None = None
        self.agreed = Versions()
        self.note_at = 0

    def lead(self, now: int, council: Council) -> None:
        self.guide, self.council = Guide(now, self.pace), council

    def alive(self) -> Sequence[int]:
        return self.members.by_life[Life.ALIVE]

    def birth_of(self, number: int) -> int:
        return self.members.members[number].birth

    def waiting(self, now: int) -> list[int]:
        """On the leader: whom a proposal waits for."""
        if self.guide is None or self.agreed.next is None:
            return []
        return self.guide.waiting(now, self.agreed, self.alive(), self.birth_of)

    def take(self, now: int, origin: int, birth: int, message: Any_) -> None:
        match message:
            case LeaseAsk():
                if self.guide is not None and self.council is not None:
                    sure = self.council.surely_leads(now)
                    tell = self.guide.asked(now, origin, birth, message, self.agreed, sure)
                    if tell is not None and origin == self.me:
                        self.member.told(now, tell, self.agreed)
                    elif tell is not None:
                        self.say(origin, tell)
            case LeaseTell():
                self.member.told(now, message, self.agreed)
            case BodyPull():
                if (piece := self.member.pulled(message)) is not None:
                    self.say(origin, piece)
            case BodyPiece():
                self.member.piece(now, origin, message)
            case ListNote(generation, digest):
                if self.lists.sight(generation, digest) is Sight.BEHIND:
                    self.say(origin, ListPull(self.lists.generation))
            case ListPull(generation):
                if self.lists.generation > generation:
                    self._tell_list(origin)
            case ListStrict(generation, names):
                self.lists.heard(generation, names)

    def _tell_list(self, origin: int) -> None:
        names = self.lists.stricter()[:MOST_TOLD]
        for place in range(0, len(names), NAMES):
            self.say(origin, ListStrict(self.lists.generation, tuple(names[place : place + NAMES])))

    def tick(self, now: int, agreed: Versions, target: int | None) -> None:
        """`target` leads, as far as it is known."""
        self.agreed = agreed
        member = self.member
        member.wanted(agreed)
        if member.parts.fetching:
            for of, pull in member.pulls(now, self.members.others()):
                self.say(of, pull)
        if now >= self.note_at and self.lists.generation:
            self.note_at = now + NOTE_US
            note = ListNote(self.lists.generation, self.lists.digest)
            others = self.members.others()
            for other in self.random.sample(others, min(NOTES, len(others))):
                self.say(other, note)
        if target is not None and (ask := member.ask(now, agreed)) is not None:
            if target == self.me:
                self.take(now, target, self.birth_of(target), ask)
            else:
                self.say(target, ask)
        if self.guide is not None and self.council is not None and not self.council.undecided:
            count = len(self.members.members)
            command = self.guide.tick(now, agreed, self.alive(), count, self.birth_of)
            if command is not None:
                self.council.propose(now, command)
