"""What the fleet of one kind does of late, against which an engine is held.

Latency is taken as the logarithm of elapsed time against the estimate, less what that class and that load
usually show: robust location and scale, by steps that one outlier moves no further than another does.
"""

from dataclasses import dataclass, field
from math import exp, log
from statistics import median

STEPS = 150  # answers over which a class's usual is smoothed
FIRST = 30  # answers before a class's usual means anything
LEAST_SCALE, FIRST_SCALE = 0.25, 0.8  # of a log ratio
CLIP = 3.0  # scales: how far one answer counts
BINS, BIN_STEPS, BIN_ENGINES = 10, 60, 3


@dataclass(slots=True)
class Usual:
    """A class's log ratio of elapsed time to estimate over the whole fleet: location and scale."""

    location: float = 0.0
    scale: float = FIRST_SCALE
    count: int = 0
    estimate_us: float = 0.0  # mean, for those that bring none

    def learn(self, value: float) -> None:
        self.count += 1
        if self.count == 1:
            self.location = value
            return
        step = 1.0 / min(self.count, STEPS)
        apart = value - self.location
        bound = CLIP * self.scale
        self.location += step * max(-bound, min(bound, apart))
        # The mean distance of a normal law is 0.8 of its deviation.
        self.scale += step * (min(abs(apart), bound) * 1.25 - self.scale)
        self.scale = max(LEAST_SCALE, self.scale)


@dataclass(slots=True)
class LoadBin:
    shift: float = 0.0
    count: float = 0.0
    engines: int = 0  # bits of slots seen of late


@dataclass(slots=True)
class Peers:
    """Engines of one kind."""

    usual: dict[int, Usual] = field(default_factory=dict)
    bins: list[LoadBin] = field(default_factory=lambda: [LoadBin() for _ in range(BINS)])

    def expected_us(self, cls: int, estimate_us: float | None) -> float:
        """An answer's usual time; the class's mean estimate where a query brings none."""
        usual = self.usual.get(cls)
        if usual is None or not usual.count:
            return estimate_us or 100_000.0
        return (estimate_us or usual.estimate_us) * exp(usual.location)

    def load_bin(self, load: float) -> int:
        return min(BINS - 1, int(2 * log(1 + 4 * load))) if load > 0 else 0

    def shift(self, load: float) -> float:
        """How much slower than usual engines at that load answer; of a bin that few engines have been in,
        the nearest lower one that more have: a single slow engine must not excuse itself."""
        for number in range(self.load_bin(load), -1, -1):
            found = self.bins[number]
            if found.engines.bit_count() >= BIN_ENGINES:
                return found.shift
        return 0.0

    def residual(self, cls: int, estimate_us: float | None, elapsed_us: float, load: float) -> float | None:
        """An answer against the usual of its class and load, in scales, at most CLIP; None while unknown."""
        usual = self.usual.get(cls)
        if usual is None:
            usual = self.usual[cls] = Usual()
        if estimate_us:
            usual.estimate_us += (estimate_us - usual.estimate_us) / min(usual.count + 1, STEPS)
        value = log(max(elapsed_us, 1.0) / max(estimate_us or usual.estimate_us or 1e5, 1_000.0))
        if usual.count < FIRST:
            usual.learn(value)
            return None
        found = (value - usual.location - self.shift(load)) / usual.scale
        return max(-CLIP, min(CLIP, found))

    def learn(self, cls: int, residual: float, slot: int, load: float) -> None:
        """From an engine that is under no suspicion, or the slow one would become the usual."""
        usual = self.usual[cls]
        shift = self.shift(load)
        usual.learn(usual.location + shift + residual * usual.scale)
        found = self.bins[self.load_bin(load)]
        found.count = min(found.count + 1, BIN_STEPS)
        found.shift += (shift + residual * usual.scale - found.shift) / found.count
        found.engines |= 1 << slot % 61

    def fade(self) -> None:
        """About every ten seconds: which engines have been in a bin is known only of late."""
        for found in self.bins:
            found.engines = 0 if found.count < 1 else found.engines & (found.engines - 1)
            found.count *= 0.7


def middle(values: list[float]) -> float:
    return median(values) if values else 0.0
