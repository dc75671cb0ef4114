"""The terms of a time line: kinds of raw events, their codes, and what the judge calls."""

from dataclasses import dataclass, field
from enum import IntEnum

from whintrail import interface as api


class Kind(IntEnum):
    """What a raw event is about. `a` and `b` are two figures; which ones is said here."""

    LISTED = 1  # code: state; a: cores or weight; b: age in s at the event, -1 where it is unknown
    PROBED = 2  # code: outcome; a: elapsed in ms
    REPORTED = 3  # code: 1 probe, 0 answer; a: load (held or utilisation); b: share of memory, -1 unknown
    SENT = 4  # code: class; a: the query's number; b: number of the attempt
    ENDED = 5  # code: outcome; a: the query's number; b: elapsed in ms
    DECIDED = 6  # code: reason; a: how often; b: the query's number, -1 for none
    NOTED = 7  # code: topic; a: the query's number; b: value
    JUDGED = 8  # code: verdict, +128 at its end; a: the leading figure of the evidence
    AGREED = (
        9  # code: of AGREED; a: fence, step or version, -1 for none; b: the gateway's number, -1 for none
    )


class Verdict(IntEnum):
    STALLED = 1
    SLOW = 2
    FAILING = 3
    FLAPPING = 4
    COLD_AGAIN = 5


OUTCOMES = tuple(api.Outcome)
OUTCOME_CODE = {outcome: code for code, outcome in enumerate(OUTCOMES)}
STATES = tuple(api.EngineState)
STATE_CODE = {state: code for code, state in enumerate(STATES)}
REASONS = tuple(api.Reason)
REASON_CODE = {reason: code for code, reason in enumerate(REASONS)}
TOPICS = tuple(api.StatusTopic)
TOPIC_CODE = {topic: code for code, topic in enumerate(TOPICS)}
VERDICT_END_FLAG = 128
# What the fleet decides: of an engine under its name, else under FLEET.
FLEET_NAME = "(fleet)"
AGREED = (
    "slot granted",
    "slot free",
    "slot refused",
    "giveback refused",
    "engine drained",
    "engine undrained",
    "engine drain done",
    "drain refused",
    "drain past its time, held",
    "release started",
    "release step",
    "release running",
    "release halted",
    "release back",
    "release done",
    "release refused",
    "turn refused",
    "gateway given up",
    "leads",
    "leads no more",
    "leaves",
    "version proposed",
    "version enters",
    "version in force",
    "version dropped",
    "version refused",
    "rules of the file differ",
)
AGREED_CODE = {word: code for code, word in enumerate(AGREED)}

# Outcomes that show that the engine works on what it is sent.
ANSWERED_OUTCOMES = frozenset({api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.NOT_STARTED})
# Outcomes after which the engine's answer is unknown: silence.
UNANSWERED_OUTCOMES = frozenset({api.Outcome.TIMEOUT, api.Outcome.CANCELLED, api.Outcome.UNKNOWN})


@dataclass(slots=True)
class Detection:
    """The judge's word on an engine: a behaviour that began, or its end. Times in Unix microseconds."""

    engine: str
    verdict: Verdict
    begins: bool
    at_us: int  # when it was called
    since_us: int  # when it began, or ended, as far as can be told
    evidence: dict[str, float] = field(default_factory=dict)

    def describe(self) -> str:
        word = self.verdict.name.lower().replace("_", " ")
        figures = " ".join(f"{name}={value:.4g}" for name, value in self.evidence.items())
        return f"{self.engine} {'is' if self.begins else 'no longer'} {word}: {figures}"


@dataclass(slots=True)
class Row:
    """A raw event as it is read back."""

    at_us: int
    engine: str
    kind: Kind
    code: int
    a: float
    b: float

    def describe(self, classes: tuple[str, ...] = ()) -> str:
        """In words, with the figures' units."""
        code, a, b = self.code, self.a, self.b
        match self.kind:
            case Kind.LISTED:
                age = f", {b:.1f} s old" if b >= 0 else ""
                return f"listed as {_code_name(STATES, code)}{age}"
            case Kind.PROBED:
                return f"probe {_code_name(OUTCOMES, code)} in {a:.1f} ms"
            case Kind.REPORTED:
                memory = f", memory {b:.2f}" if b >= 0 else ""
                return f"reports load {a:.2f}{memory}"
            case Kind.SENT:
                name = classes[code] if code < len(classes) else f"class {code}"
                return f"drawn for query {a:.0f} ({name}), attempt {b:.0f}"
            case Kind.ENDED:
                return f"query {a:.0f} ended {_code_name(OUTCOMES, code)} after {b:.1f} ms"
            case Kind.DECIDED:
                return f"{_code_name(REASONS, code)}{f' x{a:.0f}' if a > 1 else ''}"
            case Kind.NOTED:
                return f"query {a:.0f} notes {_code_name(TOPICS, code)} {b:.3g}"
            case Kind.AGREED:
                word = AGREED[code] if code < len(AGREED) else f"code {code}"
                figure, whose = f" {a:.0f}" if a >= 0 else "", f", gateway {b:.0f}" if b >= 0 else ""
                return f"AGREED {word}{figure}{whose}"
            case Kind.JUDGED:
                word = Verdict(code & ~VERDICT_END_FLAG).name.lower().replace("_", " ")
                return f"{'no longer' if code & VERDICT_END_FLAG else 'JUDGED'} {word} ({a:.4g})"


def _code_name(
    names: tuple[api.Outcome | api.EngineState | api.Reason | api.StatusTopic, ...], code: int
) -> str:
    return str(names[code].value) if code < len(names) else f"code {code}"
