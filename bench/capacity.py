"""Measures the slopes in docs/CAPACITY.md, each from at least four sizes."""

from __future__ import annotations

import asyncio
import csv as csv_module

from .capacity_daemons import async_measure_serving, measure_daemons
from .capacity_mesh import measure_mesh
from .capacity_plans import measure_parse, measure_plan
from .slopes import Point, fit_line


def run_capacity(*, csv: str) -> None:
    """Measure all lines, print their slopes and optionally write the points as CSV."""
    points = measure_parse() + measure_plan()
    points += measure_daemons() + asyncio.run(async_measure_serving()) + measure_mesh()
    lines: dict[str, list[Point]] = {}
    for point in points:
        lines.setdefault(point.line, []).append(point)
    print("| line | points (size: value) | slope | intercept |")
    print("| --- | --- | --- | --- |")
    for name, line_points in lines.items():
        slope, intercept = fit_line(line_points)
        shown = ", ".join(f"{p.size:g}: {p.value:.4g}" for p in line_points)
        print(f"| {name} | {shown} | {slope:.4g} | {intercept:.4g} |")
    if csv:
        with open(csv, "w", newline="", encoding="utf-8") as file:
            writer = csv_module.writer(file, lineterminator="\n")
            writer.writerow(["line", "size", "value"])
            writer.writerows((p.line, p.size, f"{p.value:.6g}") for p in points)
