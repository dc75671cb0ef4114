"""Agreement of a small council on one order of commands, sans-I/O: Raft's log and leader, Viewstamped
Replication's recovery, and a way to begin anew once most of it forgot.

Processes restart from nothing, so a vote or an entry may be forgotten with the process that gave it. Three
things answer that:

- A member that starts is *recovering*. It votes for nobody and counts for no majority until most of the
  council, the leader of the latest term among them, have answered the nonce of this start, and it holds all
  that the leader held when it answered (Liskov, Cowling: "Viewstamped Replication Revisited", 2012, 4.3).
- A ballot is drawn at random, and what a member said as an earlier process counts for nothing.
- Where most are recovering at once no majority can vouch for anything. Then *all* of the council have to
  agree to a new epoch, each after `quarantine_us` without a leader; who knows most leads it.

Nothing here reads a clock: times are monotonic microseconds of the caller. Safety rests on none of them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from whintrail.fleet.log import Log
from whintrail.fleet.state import Any, Noop
from whintrail.fleet.wire import (
    Append,
    AppendTell,
    Crown,
    Entry,
    Message,
    Position,
    RecoverAsk,
    RecoverTell,
    Reform,
    ReformTell,
    VoteAsk,
    VoteTell,
    size,
)

NONCE_BITS = 31


class Role(Enum):
    RECOVERING = "recovering"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class CouncilPace:
    beat_us: int = 200_000
    election_us: int = 900_000  # without a leader for so long, and up to `spread_us` more
    spread_us: int = 600_000
    recover_us: int = 300_000  # between two askings
    quarantine_us: int = 4_000_000  # before all begin anew: longer than a grant can be used
    keep_entries: int = 256


@dataclass(slots=True)
class Heard:
    """What a recovering member has of another."""

    at: int
    waited_us: int  # without a leader, as it says
    position: Position
    promised: int
    forgot: bool  # it is recovering too


class Council:
    """`take` what comes and `tick` it; it hands decided entries to `decide`, in order, once each."""

    def __init__(
        self,
        me: int,
        members: tuple[int, ...],
        now: int,
        random: Random,
        decide: Callable[[Entry], None],
        renew: Callable[[Position], None],
        known: Callable[[], Position],
        birth: int,
        pace: CouncilPace | None = None,
    ) -> None:
        """`known` is how far this process knows what was decided, from whomever; `renew`: that goes on as the
        beginning of another epoch, at this position."""
        self.me, self.random, self.decide, self.renew, self.known = me, random, decide, renew, known
        self.members, self.birth = members, birth
        self.others = tuple(number for number in members if number != me)
        self.majority = len(members) // 2 + 1
        self.pace = pace or CouncilPace()
        self.out: list[tuple[int, Message]] = []
        self.role = Role.RECOVERING
        self.epoch, self.term, self.leader = 0, 0, -1
        self.voted: tuple[int, int] | None = None  # whom in this term, and its ballot
        self.log = Log(self.pace.keep_entries)
        # As one that recovers.
        self.nonce, self.since = random.getrandbits(NONCE_BITS) | 1, now
        self.told: dict[int, RecoverTell] = {}
        self.target: tuple[int, int, int] | None = None  # epoch, term and index to be held first
        self.heard: dict[int, Heard] = {}
        self.promised, self.agreed = 0, dict[int, Position]()
        # As one without a leader, or a candidate.
        self.leader_at, self.election_at = now, now
        self.ballot, self.trial, self.votes = 0, True, set[int]()
        # As the leader.
        self.match: dict[int, int] = {}
        self.next: dict[int, int] = {}
        self.acked_at: dict[int, int] = {}
        self.confirmed: dict[int, int] = {}  # when what each answered last was sent, at the latest
        self.resigned, self.now = False, now
        self.standing: set[int] = set()  # others that take part, as far as this leader knows
        self.beat_at = now
        self.births: dict[int, int] = {}
        self.views: dict[int, tuple[int, ...]] = {}  # others' births, as each last told
        self.missed = -1  # where the leader's entries did not follow on ours
        self.lacking: int | None = None  # who leads and holds what we can only get as a whole state

    # --- The log.

    @property
    def position(self) -> Position:
        """The furthest that this process remembers, as a voter or only as one who was told."""
        return max((self.epoch, self.log.last_term, self.log.last), self.known())

    def install(self, position: Position) -> None:
        """The state as of `position` was taken over as a whole; what is behind it comes from the leader."""
        if position[0] != (self.target[0] if self.target else self.epoch):
            return
        if position[0] == self.epoch and position[2] <= self.log.commit:
            return
        sound = self.log.term_at(position[2]) == position[1] and self.epoch == position[0]
        self.log.rebase(position, keep_rest=sound)
        self.epoch, self.lacking = position[0], None
        self._caught_up()

    @property
    def wants_state(self) -> int | None:
        """Whose whole state is needed to go on, if anybody's."""
        if self.role is Role.RECOVERING and self.target is not None and self.target[0] != self.epoch:
            return self.leader
        return self.lacking

    # --- In.

    def take(self, now: int, origin: int, birth: int, message: Message) -> None:
        self.now = now
        if origin not in self.others:
            return
        if self.births.get(origin) != birth:
            self._reborn(origin, birth)
        match message:
            case RecoverAsk():
                self._recover_asked(now, origin, message)
            case RecoverTell():
                self._recover_told(now, origin, message)
            case VoteAsk():
                self._vote_asked(now, origin, message)
            case VoteTell():
                self._vote_told(now, origin, message)
            case Append():
                self._appended(now, origin, message)
            case AppendTell():
                self._append_told(now, origin, message)
            case Reform(epoch, meant):
                if meant == self.birth:
                    self._reform_asked(now, origin, epoch)
            case ReformTell(epoch, position):
                if epoch == self.promised and self.role is Role.RECOVERING:
                    self.agreed[origin] = position
                    self._crown(now)
            case Crown(epoch):
                if epoch == self.promised and self.role is Role.RECOVERING:
                    self._begin_epoch(now, epoch)

    def _reborn(self, origin: int, birth: int) -> None:
        """It started anew: what it held and said before is gone."""
        self.births[origin] = birth
        self.match[origin] = 0
        self.next[origin] = self.log.last + 1
        self.acked_at.pop(origin, None)
        self.votes.discard(origin)
        self.told.pop(origin, None)
        self.agreed.pop(origin, None)
        self.views.pop(origin, None)
        self.standing.discard(origin)
        self.confirmed.pop(origin, None)

    def surely_leads(self, now: int) -> bool:
        """Nobody else can lead at this moment: most of the council followed us so shortly ago that they give
        no vote yet. It rests on clocks that run alike, to a third."""
        if self.role is not Role.LEADER:
            return False
        heard = sorted([now, *(self.confirmed.get(n, 0) for n in self.others)], reverse=True)
        return now - heard[self.majority - 1] < self.pace.election_us * 2 // 3

    def away(self, now: int) -> list[int]:
        """As the leader sees it: others of the council that vouch for nothing at present."""
        late = 2 * self.pace.election_us
        return [n for n in self.others if n not in self.standing or now - self.acked_at.get(n, 0) > late]

    def _view(self) -> tuple[int, ...]:
        return tuple(self.birth if n == self.me else self.births.get(n, 0) for n in self.members)

    def _sound(self, voices: set[int]) -> set[int]:
        """Those of them of whom none of the others knows another process. What a member said before it
        forgot may come late; whoever answered its successor's recovery tells (Michael, Ports, Sharma,
        Szekeres: "Recovering Shared Objects Without Stable Storage", 2017)."""
        known = [self.views[n] for n in voices if n in self.views]
        places = {number: place for place, number in enumerate(self.members)}
        return {n for n in voices if all(view[places[n]] in (0, self.births.get(n, 0)) for view in known)}

    # --- Recovery.

    def _recover(self, now: int) -> None:
        """Nothing that was said counts any more; ask again under a new nonce."""
        if self.role is not Role.RECOVERING:
            self.since = now
        self.role, self.leader, self.target = Role.RECOVERING, -1, None
        self.nonce = self.random.getrandbits(NONCE_BITS) | 1
        self.told.clear()

    def _recover_asked(self, now: int, origin: int, ask: RecoverAsk) -> None:
        self.heard[origin] = Heard(now, ask.waited_ms * 1000, ask.position, ask.promised, True)
        if self.role is Role.RECOVERING:
            return
        lonely = 0 if self.role is Role.LEADER else now - self.leader_at
        given = ask.nonce, self.epoch, self.term, self.role is Role.LEADER, self.log.last
        self._say(origin, RecoverTell(*given, min(lonely // 1000, 0xFFFFFFFF)))

    def _recover_told(self, now: int, origin: int, tell: RecoverTell) -> None:
        position = (tell.epoch, tell.term, tell.last)
        self.heard[origin] = Heard(now, tell.lonely_ms * 1000, position, 0, False)
        if self.role is not Role.RECOVERING or tell.nonce != self.nonce or self.target is not None:
            return
        self.told[origin] = tell
        if len(self.told) < self.majority:
            return
        latest = max((t.epoch, t.term) for t in self.told.values())
        leaders = [number for number, t in self.told.items() if t.leads and (t.epoch, t.term) == latest]
        if not leaders:
            return  # a later term has no leader yet, or it has not answered: asked again
        leader = leaders[0]
        self.target = (*latest, self.told[leader].last)
        self.term, self.leader, self.voted = latest[1], leader, None
        self.leader_at = now
        self._caught_up()

    def _caught_up(self) -> None:
        if self.target is not None and self.epoch == self.target[0] and self.log.last >= self.target[2]:
            if self.lacking is None:
                self.role, self.target, self.promised = Role.FOLLOWER, None, 0
                self.told.clear()

    # --- A new epoch.

    def _lonely_us(self, now: int) -> int:
        if self.role is Role.RECOVERING:
            return now - self.since
        return 0 if self.role is Role.LEADER else now - self.leader_at

    def _try_reform(self, now: int) -> None:
        """The lowest in number asks, once it has heard of late that all have been without a leader for long
        and too few of them remember for a majority to vouch for anything."""
        if self._lonely_us(now) < self.pace.quarantine_us or any(n < self.me for n in self.others):
            return
        fresh = [self.heard.get(n) for n in self.others]
        if any(h is None or now - h.at > 2 * self.pace.election_us for h in fresh):
            return
        if any(h.waited_us < self.pace.quarantine_us for h in fresh if h is not None):
            return
        if sum(not h.forgot for h in fresh if h is not None) >= self.majority:
            return  # these can go on by themselves
        known = [max(h.position[0], h.promised) for h in fresh if h is not None]
        highest = max([self.epoch, *known])
        if self.role is not Role.RECOVERING:
            self._recover(self.leader_at)
        if self.promised <= self.epoch or self.promised < highest:
            self.promised = ((max(highest, self.promised) >> 32) + 1) << 32
            self.promised |= self.random.getrandbits(NONCE_BITS)
            self.agreed = {}
        if not self.others:
            self._begin_epoch(now, self.promised)
        for number in self.others:
            self._say(number, Reform(self.promised, self.births[number]))

    def _reform_asked(self, now: int, origin: int, epoch: int) -> None:
        if epoch <= max(self.epoch, self.promised - 1) or self._lonely_us(now) < self.pace.quarantine_us:
            return
        if self.role is not Role.RECOVERING:
            self._recover(now - self._lonely_us(now))
        self.promised, self.target = epoch, None
        self._say(origin, ReformTell(epoch, self.position))

    def _crown(self, now: int) -> None:
        if set(self.agreed) != set(self.others):
            return
        best, position = self.me, self.position
        for number, theirs in self.agreed.items():
            if theirs > position:
                best, position = number, theirs
        if best == self.me:
            self._begin_epoch(now, self.promised)
        else:
            self._say(best, Crown(self.promised))

    def _begin_epoch(self, now: int, epoch: int) -> None:
        """All have promised: nothing can be decided in an earlier epoch any more, and whoever holds most
        holds all that ever was, as far as anybody remembers it."""
        if self.known() > (self.epoch, self.log.last_term, self.log.last):
            commit = self.known()[2]
        else:
            self.log.decide(self.log.last, self.decide)
            commit = self.log.commit
        self.epoch, self.term, self.promised, self.target = epoch, 1, 0, None
        self.log.rebase((epoch, 0, commit), keep_rest=False)
        self.agreed.clear()
        self.renew(self.log.base)
        self._lead(now)

    # --- Elections.

    def _await_leader(self, now: int) -> None:
        self.election_at = now + self.pace.election_us + self.random.randrange(self.pace.spread_us)

    def campaign(self, now: int, trial: bool) -> None:
        """Ask for votes; first whether it would get them, so that one who was away disturbs nobody."""
        self.ballot, self.trial, self.votes = self.random.getrandbits(NONCE_BITS), trial, {self.me}
        self._await_leader(now)
        if not trial:
            self.role, self.term, self.leader = Role.CANDIDATE, self.term + 1, -1
            self.voted = (self.me, self.ballot)
        term = self.term + 1 if trial else self.term
        for number in self.others:
            held = self.log.last_term, self.log.last
            self._say(number, VoteAsk(self.epoch, term, self.ballot, *held, trial))
        self._count_votes(now)

    def _vote_asked(self, now: int, origin: int, ask: VoteAsk) -> None:
        if self.role is Role.RECOVERING or ask.epoch != self.epoch:
            return
        good = (ask.last_term, ask.last) >= (self.log.last_term, self.log.last)
        led = self.role is Role.LEADER or (self.leader >= 0 and now - self.leader_at < self.pace.election_us)
        if ask.trial:
            yes = good and not led and ask.term > self.term
        else:
            if ask.term > self.term and not led:
                self._follow(now, ask.term, -1)
            free = self.voted in (None, (origin, ask.ballot)) and self.role is Role.FOLLOWER
            yes = good and free and ask.term == self.term
            if yes:
                self.voted = (origin, ask.ballot)
                self._await_leader(now)
        self._say(origin, VoteTell(self.epoch, self.term, ask.ballot, ask.trial, yes, self._view()))

    def _vote_told(self, now: int, origin: int, tell: VoteTell) -> None:
        if tell.epoch != self.epoch or self.role in (Role.RECOVERING, Role.LEADER):
            return
        if tell.term > self.term:
            self._follow(now, tell.term, -1)
        elif tell.yes and tell.ballot == self.ballot and tell.trial is self.trial:
            self.views[origin] = tell.births
            self.votes.add(origin)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if len(self._sound(self.votes - {self.me})) + 1 < self.majority:
            return
        if self.trial:
            self.campaign(now, trial=False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _follow(self, now: int, term: int, leader: int) -> None:
        if term > self.term:
            self.term, self.voted = term, None
        self.role, self.leader, self.votes = Role.FOLLOWER, leader, set()
        self._await_leader(now)

    def _lead(self, now: int) -> None:
        self.role, self.leader, self.votes = Role.LEADER, self.me, set()
        self.match = dict.fromkeys(self.others, 0)
        self.next = dict.fromkeys(self.others, self.log.last + 1)
        self.acked_at = dict.fromkeys(self.others, now)
        self.standing.clear()
        self.confirmed.clear()
        self.propose(now, Noop())

    def resign(self, now: int) -> None:
        """This process ends: it leads no more and asks for no votes, but answers while it can."""
        self.resigned = True
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self._follow(now, self.term, -1)

    # --- Entries.

    def propose(self, now: int, command: Any) -> int | None:
        """As the leader: the index under which the command will be decided, should this term last; else
        None."""
        if self.role is not Role.LEADER:
            return None
        index = self.log.last + 1
        self.log.append(Entry(index, self.term, command))
        self._advance()
        self._beat(now)
        return index

    @property
    def undecided(self) -> list[Any]:
        """Commands proposed and not yet decided: a leader counts them as done already."""
        return [entry.command for entry in self.log.undecided]

    def _beat(self, now: int) -> None:
        self.beat_at, self.now = now + self.pace.beat_us, now
        for number in self.others:
            self._append(number)

    def _append(self, number: int) -> None:
        log = self.log
        before = max(self.next.get(number, log.last + 1) - 1, log.base[2])
        stamp = (self.now // 1000) & 0xFFFFFFFF
        given = self.epoch, self.term, log.term_at(before) or 0, before, log.commit, stamp
        entries = log.batch(before, size(Append(*given, ())) + 4)
        self._say(number, Append(*given, entries))

    def _appended(self, now: int, origin: int, append: Append) -> None:
        recovering = self.role is Role.RECOVERING
        if recovering and self.target is None and self.promised and append.epoch == self.promised:
            # The epoch to which all agreed has begun. What we hold is kept until we hold all of its.
            self.target = (append.epoch, append.term, append.last)
            self.term, self.voted = append.term, None
        if recovering:
            if self.target is None or append.epoch != self.target[0] or append.term != self.target[1]:
                if self.target is not None and (append.epoch, append.term) > self.target[:2]:
                    self._recover(now)  # another leads by now: its word is needed
                return
            if self.epoch != append.epoch:  # only a whole state brings us there
                self.leader, self.leader_at = origin, now
                self._await_leader(now)
                self._say(
                    origin, AppendTell(append.epoch, append.term, False, 0, append.stamp, True, self._view())
                )
                return
        elif append.epoch > self.epoch:
            self._recover(now)  # decided without us: learn of it from a majority
            return
        elif append.epoch < self.epoch or append.term < self.term:
            given = self.epoch, self.term, False, self.log.last, append.stamp, False
            self._say(origin, AppendTell(*given, self._view()))
            return
        elif append.term > self.term or self.role is not Role.FOLLOWER or self.leader != origin:
            self._follow(now, append.term, origin)
        self.leader, self.leader_at = origin, now
        self._await_leader(now)
        good, last = self._fit(append)
        self._caught_up()
        learns = self.role is Role.RECOVERING
        self._say(origin, AppendTell(self.epoch, self.term, good, last, append.stamp, learns, self._view()))

    def _fit(self, append: Append) -> tuple[bool, int]:
        """Whether the entries follow on what is held, and up to where both agree."""
        held = self.log.merge(append.last, append.last_term, append.entries)
        if held is None:
            if append.last == self.missed and append.last > self.log.last:
                self.lacking = self.leader  # it can't go further back: only its whole state helps
            self.missed = append.last
            return False, max(self.log.commit, min(self.log.last, append.last - 1))
        self.lacking, self.missed = None, -1
        self.log.decide(min(append.commit, held), self.decide)
        return True, held

    def _append_told(self, now: int, origin: int, tell: AppendTell) -> None:
        if tell.epoch != self.epoch:
            return
        if tell.term > self.term and self.role is not Role.RECOVERING:
            self._follow(now, tell.term, -1)
        if self.role is not Role.LEADER or tell.term != self.term:
            return
        self.acked_at[origin], self.views[origin] = now, tell.births
        passed = ((now // 1000) - tell.stamp) & 0xFFFFFFFF
        if not tell.learns and passed < 60_000:
            self.confirmed[origin] = max(self.confirmed.get(origin, 0), now - (passed + 1) * 1000)
        if not tell.good:
            self.next[origin] = max(self.log.base[2] + 1, min(self.next[origin] - 1, tell.last + 1))
            return
        self.next[origin] = max(self.next[origin], tell.last + 1)
        if not tell.learns:
            self.standing.add(origin)
            self.match[origin] = max(self.match[origin], tell.last)
            self._advance()
        if self.next[origin] <= self.log.last:
            self._append(origin)

    def _advance(self) -> None:
        sound = self._sound({n for n in self.others if self.match.get(n, 0) > self.log.commit})
        held = sorted(
            [self.log.last, *(self.match[n] if n in sound else 0 for n in self.others)], reverse=True
        )
        index = held[self.majority - 1]
        if index > self.log.commit and self.log.term_at(index) == self.term:  # earlier terms come along
            self.log.decide(index, self.decide)

    # --- Time.

    def tick(self, now: int) -> None:
        self.now = now
        if self.role is Role.RECOVERING:
            if now < self.beat_at:
                return
            self.beat_at = now + self.pace.recover_us
            if self.target is not None and now - self.leader_at > self.pace.election_us:
                self._recover(now)  # the leader that vouched is gone: ask again
            waited = min((now - self.since) // 1000, 0xFFFFFFFF)
            for number in self.others:
                self._say(number, RecoverAsk(self.nonce, waited, self.position, self.promised))
            self._try_reform(now)
        elif self.role is Role.LEADER:
            alive = sum(now - at < 2 * self.pace.election_us for at in self.acked_at.values())
            if alive + 1 < self.majority:  # cut off: others may have a leader by now
                self._follow(now, self.term, -1)
                self.leader_at = now
            elif now >= self.beat_at:
                self._beat(now)
        elif now >= self.election_at and not self.resigned:
            self.leader = -1
            self.campaign(now, trial=True)
            lonely = self._lonely_us(now)
            if lonely >= self.pace.quarantine_us:  # told unasked: who decides to begin anew has to know
                given = 0, self.epoch, self.term, False, self.log.last, min(lonely // 1000, 0xFFFFFFFF)
                for number in self.others:
                    self._say(number, RecoverTell(*given))
                self._try_reform(now)

    def _say(self, target: int, message: Message) -> None:
        self.out.append((target, message))
