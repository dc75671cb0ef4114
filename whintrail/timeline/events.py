"""The kinds of raw events, their codes, and the detector's verdicts.

Codes are stored: the order of the tuples below, and of the enums that they are made of, must not change; new
members go to the end.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from whintrail import interface as api


class Kind(IntEnum):
    """The kind of a raw event, which determines the meaning of its code and of its figures `a` and `b`."""

    LISTED = 1  # code: state; a: cores or weight; b: age in s at the event, -1 if unknown
    PROBED = 2  # code: outcome; a: elapsed in ms
    REPORTED = 3  # code: 1 probe, 0 answer; a: load (queries or utilisation); b: memory share, -1 if unknown
    SENT = 4  # code: class; a: query number; b: attempt number
    ENDED = 5  # code: outcome; a: query number; b: elapsed in ms
    DECIDED = 6  # code: reason; a: count; b: query number, -1 if none
    NOTED = 7  # code: topic; a: query number; b: value
    JUDGED = 8  # code: verdict, plus 128 at its end; a: first figure of the evidence
    # code: index in AGREED; a: fence, step or version, -1 if none; b: gateway number, -1 if none
    AGREED = 9


class Verdict(IntEnum):
    """A kind of anomaly of an engine."""

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
# The track of decisions of the fleet that concern no single engine.
FLEET_NAME = "(fleet)"
# The fleet's decisions, as they are shown to operators.
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

# Outcomes that prove that the engine processes what it is sent.
ANSWERED_OUTCOMES = frozenset({api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.NOT_STARTED})
# Outcomes after which it is unknown whether the engine would have answered: they count as silence.
UNANSWERED_OUTCOMES = frozenset({api.Outcome.TIMEOUT, api.Outcome.CANCELLED, api.Outcome.UNKNOWN})


@dataclass(slots=True)
class Detection:
    """The begin or the end of an anomaly of an engine. Times are Unix microseconds."""

    engine: str
    verdict: Verdict
    begins: bool
    at_us: int  # when it was detected
    since_us: int  # estimated time of the begin or the end
    evidence: dict[str, float] = field(default_factory=dict)

    def describe(self) -> str:
        word = self.verdict.name.lower().replace("_", " ")
        figures = " ".join(f"{name}={value:.4g}" for name, value in self.evidence.items())
        return f"{self.engine} {'is' if self.begins else 'no longer'} {word}: {figures}"


@dataclass(slots=True)
class Row:
    """A raw event as it is read back, with the engine's name."""

    at_us: int
    engine: str
    kind: Kind
    code: int
    a: float
    b: float

    def describe(self, classes: tuple[str, ...] = ()) -> str:
        """The event in words, with the units of its figures."""
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
                value, gateway = f" {a:.0f}" if a >= 0 else "", f", gateway {b:.0f}" if b >= 0 else ""
                return f"AGREED {word}{value}{gateway}"
            case Kind.JUDGED:
                word = Verdict(code & ~VERDICT_END_FLAG).name.lower().replace("_", " ")
                return f"{'no longer' if code & VERDICT_END_FLAG else 'JUDGED'} {word} ({a:.4g})"


def _code_name(
    names: tuple[api.Outcome | api.EngineState | api.Reason | api.StatusTopic, ...], code: int
) -> str:
    return str(names[code].value) if code < len(names) else f"code {code}"
