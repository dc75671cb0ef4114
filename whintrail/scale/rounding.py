"""Comparisons and texts that don't depend on the last bits of a calculated value. Pure.

Linear algebra libraries and processors differ in the last bits of a result. Numbers that differ by less than
`ROUNDING` count as equal here; it is far above the error of a fit and far below the digits that are shown.
"""

import math

ROUNDING = 1e-9  # relative


def exceeds(value: float, limit: float) -> bool:
    """Whether a value is above a limit by more than rounding."""
    return value - limit > ROUNDING * abs(limit)


def is_rounding_error(value: float, reference: float) -> bool:
    """Whether a value is of the size of rounding errors of a reference."""
    return abs(value) <= ROUNDING * abs(reference)


def settle(value: float) -> float:
    """The number of four digits, or else the whole number, within rounding of a value; the value if none is.

    Texts have three digits at most, or a whole number in full. So ends of decades and halves, where the last
    bits decide on the text, are among the numbers returned.
    """
    if not math.isfinite(value):
        return value
    for simple in (float(f"{value:.4g}"), float(round(value))):
        if is_rounding_error(value - simple, simple):
            return simple + 0.0  # 0 for -0
    return value


def decade(value: float) -> int:
    """The exponent of a number's leading digit: 0 from 1 on, 1 from 10 on, -1 below 1."""
    return int(f"{value:.12e}".partition("e")[2])
