"""A measured point, and the straight line through some."""

from __future__ import annotations

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measured point of a line."""

    line: str
    size: float
    value: float


def fit(points: list[Point]) -> tuple[float, float]:
    """Return slope and intercept by least squares."""
    count = len(points)
    mean_x = sum(p.size for p in points) / count
    mean_y = sum(p.value for p in points) / count
    spread = sum((p.size - mean_x) ** 2 for p in points)
    slope = sum((p.size - mean_x) * (p.value - mean_y) for p in points) / spread
    return slope, mean_y - slope * mean_x
