"""What the fleet of one kind does of late, against which an engine is held.

Latency is taken as the logarithm of elapsed time against the estimate, less what that class and that load
usually show: robust location and scale, by steps that one outlier moves no further than another does.
"""

from dataclasses import dataclass, field
from math import exp, log
from statistics import median

SMOOTHING_ANSWERS = 150  # answers over which a class's usual is smoothed
MIN_CLASS_ANSWERS = 30  # answers before a class's usual means anything
MIN_SCALE, INITIAL_SCALE = 0.25, 0.8  # of a log ratio
MAX_RESIDUAL = 3.0  # scales: how far one answer counts
LOAD_BIN_COUNT, LOAD_BIN_SMOOTHING_ANSWERS, MIN_ENGINES_PER_BIN = 10, 60, 3


@dataclass(slots=True)
class ClassBaseline:
    """A class's log ratio of elapsed time to estimate over the whole fleet: location and scale."""

    location: float = 0.0
    scale: float = INITIAL_SCALE
    count: int = 0
    mean_estimate_us: float = 0.0  # mean, for those that bring none

    def update(self, value: float) -> None:
        self.count += 1
        if self.count == 1:
            self.location = value
            return
        step = 1.0 / min(self.count, SMOOTHING_ANSWERS)
        apart = value - self.location
        bound = MAX_RESIDUAL * self.scale
        self.location += step * max(-bound, min(bound, apart))
        # The mean distance of a normal law is 0.8 of its deviation.
        self.scale += step * (min(abs(apart), bound) * 1.25 - self.scale)
        self.scale = max(MIN_SCALE, self.scale)


@dataclass(slots=True)
class LoadBin:
    shift: float = 0.0
    count: float = 0.0
    engine_bits: int = 0  # bits of slots seen of late


@dataclass(slots=True)
class KindBaseline:
    """Engines of one kind."""

    classes: dict[int, ClassBaseline] = field(default_factory=dict)
    load_bins: list[LoadBin] = field(default_factory=lambda: [LoadBin() for _ in range(LOAD_BIN_COUNT)])

    def expected_answer_us(self, class_code: int, estimate_us: float | None) -> float:
        """An answer's usual time; the class's mean estimate where a query brings none."""
        usual = self.classes.get(class_code)
        if usual is None or not usual.count:
            return estimate_us or 100_000.0
        return (estimate_us or usual.mean_estimate_us) * exp(usual.location)

    def load_bin_index(self, load: float) -> int:
        return min(LOAD_BIN_COUNT - 1, int(2 * log(1 + 4 * load))) if load > 0 else 0

    def load_shift(self, load: float) -> float:
        """How much slower than usual engines at that load answer; of a bin that few engines have been in,
        the nearest lower one that more have: a single slow engine must not excuse itself."""
        for number in range(self.load_bin_index(load), -1, -1):
            found = self.load_bins[number]
            if found.engine_bits.bit_count() >= MIN_ENGINES_PER_BIN:
                return found.shift
        return 0.0

    def residual(
        self, class_code: int, estimate_us: float | None, elapsed_us: float, load: float
    ) -> float | None:
        """An answer against the usual of its class and load, in scales, at most CLIP; None while unknown."""
        usual = self.classes.get(class_code)
        if usual is None:
            usual = self.classes[class_code] = ClassBaseline()
        if estimate_us:
            usual.mean_estimate_us += (estimate_us - usual.mean_estimate_us) / min(
                usual.count + 1, SMOOTHING_ANSWERS
            )
        value = log(max(elapsed_us, 1.0) / max(estimate_us or usual.mean_estimate_us or 1e5, 1_000.0))
        if usual.count < MIN_CLASS_ANSWERS:
            usual.update(value)
            return None
        found = (value - usual.location - self.load_shift(load)) / usual.scale
        return max(-MAX_RESIDUAL, min(MAX_RESIDUAL, found))

    def update(self, class_code: int, residual: float, slot: int, load: float) -> None:
        """From an engine that is under no suspicion, or the slow one would become the usual."""
        usual = self.classes[class_code]
        shift = self.load_shift(load)
        usual.update(usual.location + shift + residual * usual.scale)
        found = self.load_bins[self.load_bin_index(load)]
        found.count = min(found.count + 1, LOAD_BIN_SMOOTHING_ANSWERS)
        found.shift += (shift + residual * usual.scale - found.shift) / found.count
        found.engine_bits |= 1 << slot % 61

    def decay(self) -> None:
        """About every ten seconds: which engines have been in a bin is known only of late."""
        for found in self.load_bins:
            found.engine_bits = 0 if found.count < 1 else found.engine_bits & (found.engine_bits - 1)
            found.count *= 0.7


def median_or_zero(values: list[float]) -> float:
    return median(values) if values else 0.0
