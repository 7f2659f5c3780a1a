"""A short seeded run of the partition soak."""

from __future__ import annotations

from .partition_soak import run_seed


def test_invariants_hold_under_random_partitions(tmp_path):
    assert run_seed(1, tmp_path) == []
