"""Measured points and a least-squares line through them."""

from __future__ import annotations

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size; ``line`` names the line it belongs to."""

    line: str
    size: float
    value: float


def fit_line(points: list[Point]) -> tuple[float, float]:
    """Return the slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(p.size for p in points) / count
    mean_y = sum(p.value for p in points) / count
    spread = sum((p.size - mean_x) ** 2 for p in points)
    slope = sum((p.size - mean_x) * (p.value - mean_y) for p in points) / spread
    return slope, mean_y - slope * mean_x
