"""The recent latency of all engines of one kind, with which a single engine is compared.

Latency is measured as the logarithm of elapsed time over estimate, less what is usual for the query's class
and the engine's load. Location and scale are robust: deviations are clipped, so that no outlier counts more
than MAX_RESIDUAL scales.
"""

from dataclasses import dataclass, field
from math import exp, log
from statistics import median

SMOOTHING_ANSWERS = 150  # window of a class's location and scale
MIN_CLASS_ANSWERS = 30  # before a class's location and scale are used
# Scale of a class's log ratio.
MIN_SCALE = 0.25
INITIAL_SCALE = 0.8
MAX_RESIDUAL = 3.0  # in scales; residuals are clipped to it
LOAD_BIN_COUNT = 10
LOAD_BIN_SMOOTHING_ANSWERS = 60
MIN_ENGINES_PER_BIN = 3


@dataclass(slots=True)
class ClassBaseline:
    """Location and scale of a class's log ratio of elapsed time to estimate, over all engines of the kind."""

    location: float = 0.0
    scale: float = INITIAL_SCALE
    count: int = 0
    mean_estimate_us: float = 0.0  # for queries without an estimate

    def update(self, log_ratio: float) -> None:
        self.count += 1
        if self.count == 1:
            self.location = log_ratio
            return
        step = 1.0 / min(self.count, SMOOTHING_ANSWERS)
        deviation = log_ratio - self.location
        bound = MAX_RESIDUAL * self.scale
        self.location += step * max(-bound, min(bound, deviation))
        # The mean absolute deviation of a normal distribution is 0.8 of its standard deviation.
        self.scale += step * (min(abs(deviation), bound) * 1.25 - self.scale)
        self.scale = max(MIN_SCALE, self.scale)


@dataclass(slots=True)
class LoadBin:
    """How much slower than usual engines answer in one range of load."""

    shift: float = 0.0
    count: float = 0.0
    engine_bits: int = 0  # a bit for each engine (slot modulo 61) seen lately


@dataclass(slots=True)
class KindBaseline:
    """Usual latency of the engines of one kind, by query class and by engine load."""

    classes: dict[int, ClassBaseline] = field(default_factory=dict)
    load_bins: list[LoadBin] = field(default_factory=lambda: [LoadBin() for _ in range(LOAD_BIN_COUNT)])

    def expected_answer_us(self, class_code: int, estimate_us: float | None) -> float:
        """Usual time of an answer, from the class's mean estimate if the query has none."""
        class_baseline = self.classes.get(class_code)
        if class_baseline is None or not class_baseline.count:
            return estimate_us or 100_000.0
        return (estimate_us or class_baseline.mean_estimate_us) * exp(class_baseline.location)

    def load_bin_index(self, load: float) -> int:
        """The bin of that load; bins grow with the logarithm of the load."""
        return min(LOAD_BIN_COUNT - 1, int(2 * log(1 + 4 * load))) if load > 0 else 0

    def load_shift(self, load: float) -> float:
        """How much slower than usual, as a log ratio, engines answer at that load.

        A bin that fewer than MIN_ENGINES_PER_BIN engines have been in is replaced by the next lower one with
        enough of them: otherwise a single slow engine would become the norm of its own load.
        """
        for index in range(self.load_bin_index(load), -1, -1):
            load_bin = self.load_bins[index]
            if load_bin.engine_bits.bit_count() >= MIN_ENGINES_PER_BIN:
                return load_bin.shift
        return 0.0

    def residual(
        self, class_code: int, estimate_us: float | None, elapsed_us: float, load: float
    ) -> float | None:
        """Deviation of an answer from what is usual for its class and load, in scales and clipped.

        None while the class has too few answers.
        """
        class_baseline = self.classes.get(class_code)
        if class_baseline is None:
            class_baseline = self.classes[class_code] = ClassBaseline()
        if estimate_us:
            class_baseline.mean_estimate_us += (estimate_us - class_baseline.mean_estimate_us) / min(
                class_baseline.count + 1, SMOOTHING_ANSWERS
            )
        log_ratio = log(
            max(elapsed_us, 1.0) / max(estimate_us or class_baseline.mean_estimate_us or 1e5, 1_000.0)
        )
        if class_baseline.count < MIN_CLASS_ANSWERS:
            class_baseline.update(log_ratio)
            return None
        residual = (log_ratio - class_baseline.location - self.load_shift(load)) / class_baseline.scale
        return max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))

    def update(self, class_code: int, residual: float, slot: int, load: float) -> None:
        """Learn from an answer of an engine that is not suspected: a slow one must not become the norm."""
        class_baseline = self.classes[class_code]
        shift = self.load_shift(load)
        class_baseline.update(class_baseline.location + shift + residual * class_baseline.scale)
        load_bin = self.load_bins[self.load_bin_index(load)]
        load_bin.count = min(load_bin.count + 1, LOAD_BIN_SMOOTHING_ANSWERS)
        load_bin.shift += (shift + residual * class_baseline.scale - load_bin.shift) / load_bin.count
        load_bin.engine_bits |= 1 << slot % 61

    def decay(self) -> None:
        """Forget gradually which engines have been in a bin; called about every ten seconds."""
        for load_bin in self.load_bins:
            load_bin.engine_bits = (
                0 if load_bin.count < 1 else load_bin.engine_bits & (load_bin.engine_bits - 1)
            )
            load_bin.count *= 0.7


def median_or_zero(values: list[float]) -> float:
    """The median; 0.0 without values."""
    return median(values) if values else 0.0
